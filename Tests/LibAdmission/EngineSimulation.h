//===- EngineSimulation.h - Small deterministic engine ----------*- C++ -*-===//
//
// Simulates the steps of one batch: a chunk of prefill, then one token of each
// decoding sequence. Drives an Admission and carries out its decisions.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibAdmission/Admission.h"

#include <algorithm>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace figlift::admission::test {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

class EngineSimulation {
public:
  static constexpr double PrefillRate = 20000;
  static constexpr Seconds DecodeStep{0.02};
  static constexpr uint32_t Chunk = 2048;

  explicit EngineSimulation(AdmissionSettings Settings)
      : Controller(Settings) {}

  void arrive(Work Request, milliseconds TimeLimit) {
    Request.Id = std::to_string(m_Next++);
    m_Requests[Request.Id] = {Request, Request.PromptTokens, 0,
                              m_Now + TimeLimit};
    act(Controller.step(RequestArrived{Request}, now()));
  }

  /// Runs steps until \p Until. Skips the remaining time if there is no work.
  void runUntil(Seconds Until) {
    while (m_Now < Until) {
      const Seconds Length = step();
      act(Controller.step(Tick{}, now()));
      if (Length.count() == 0)
        m_Now = Until;
    }
  }

  BootTime now() const {
    return BootTime(std::chrono::duration_cast<std::chrono::nanoseconds>(
        m_Now + Seconds(1000)));
  }
  Seconds elapsed() const { return m_Now; }

  Admission Controller;
  unsigned InTime = 0;
  unsigned Late = 0;
  unsigned Refused = 0;

private:
  struct Request {
    Work Details;
    uint32_t PrefillRemaining;
    uint32_t Produced;
    Seconds Deadline;
  };

  Seconds step() {
    uint32_t Budget = Chunk;
    std::vector<std::string> Prefilled, Decoding;
    for (const std::string &Id : m_Running) {
      Request &Current = m_Requests[Id];
      if (Current.PrefillRemaining == 0) {
        Decoding.push_back(Id);
        continue;
      }
      const uint32_t Tokens = std::min(Budget, Current.PrefillRemaining);
      Budget -= Tokens;
      Current.PrefillRemaining -= Tokens;
      if (Tokens > 0 && Current.PrefillRemaining == 0)
        Prefilled.push_back(Id);
    }
    Seconds Length((Chunk - Budget) / PrefillRate);
    if (!Decoding.empty())
      Length += DecodeStep;
    m_Now += Length;
    for (const std::string &Id : Prefilled)
      produce(Id, FirstToken{Id, 0});
    for (const std::string &Id : Decoding)
      produce(Id, Progress{Id, 1});
    return Length;
  }

  void produce(const std::string &Id, const Event &Input) {
    act(Controller.step(Input, now()));
    Request &Current = m_Requests[Id];
    if (++Current.Produced < Current.Details.MaximumTokens)
      return;
    ++(m_Now <= Current.Deadline ? InTime : Late);
    m_Running.remove(Id);
    act(Controller.step(RequestEnded{Id}, now()));
  }

  void act(const std::vector<Action> &Actions) {
    for (const Action &Step : Actions) {
      if (const auto *Admitted = std::get_if<Admit>(&Step))
        m_Running.push_back(Admitted->Id);
      Refused += std::holds_alternative<Refuse>(Step);
    }
  }

  Seconds m_Now{0};
  unsigned m_Next = 0;
  std::map<std::string, Request> m_Requests;
  std::list<std::string> m_Running;
};

} // namespace figlift::admission::test
