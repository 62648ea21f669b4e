//===- EngineTrial.h - Small deterministic engine ---------------*- C++ -*-===//
//
// Steps of one batch: a piece of prompts, then one token of each sequence that
// decodes. Drives an Admission and takes its decisions.
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

class EngineTrial {
public:
  static constexpr double PrefillRate = 20000;
  static constexpr Seconds DecodeStep{0.02};
  static constexpr uint32_t Chunk = 2048;

  explicit EngineTrial(AdmissionSettings Settings) : Book(Settings) {}

  void arrive(Work Request, milliseconds Patience) {
    Request.Id = std::to_string(m_Next++);
    m_Requests[Request.Id] = {Request, Request.PromptTokens, 0,
                              m_Now + Patience};
    act(Book.step(Arrived{Request}, now()));
  }

  /// Runs steps until \p Until; nothing to do passes the time.
  void runUntil(Seconds Until) {
    while (m_Now < Until) {
      const Seconds Length = step();
      act(Book.step(Tick{}, now()));
      if (Length.count() == 0)
        m_Now = Until;
    }
  }

  BootTime now() const {
    return BootTime(std::chrono::duration_cast<std::chrono::nanoseconds>(
        m_Now + Seconds(1000)));
  }
  Seconds elapsed() const { return m_Now; }

  Admission Book;
  unsigned InTime = 0;
  unsigned Late = 0;
  unsigned Refused = 0;

private:
  struct Request {
    Work What;
    uint32_t PrefillLeft;
    uint32_t Produced;
    Seconds WantedBy;
  };

  Seconds step() {
    uint32_t Budget = Chunk;
    std::vector<std::string> Prefilled, Decoding;
    for (const std::string &Id : m_Running) {
      Request &One = m_Requests[Id];
      if (One.PrefillLeft == 0) {
        Decoding.push_back(Id);
        continue;
      }
      const uint32_t Tokens = std::min(Budget, One.PrefillLeft);
      Budget -= Tokens;
      One.PrefillLeft -= Tokens;
      if (Tokens > 0 && One.PrefillLeft == 0)
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

  void produce(const std::string &Id, const Event &Happened) {
    act(Book.step(Happened, now()));
    Request &One = m_Requests[Id];
    if (++One.Produced < One.What.MaximumTokens)
      return;
    ++(m_Now <= One.WantedBy ? InTime : Late);
    m_Running.remove(Id);
    act(Book.step(Ended{Id}, now()));
  }

  void act(const std::vector<Action> &Actions) {
    for (const Action &One : Actions) {
      if (const auto *Taken = std::get_if<Admit>(&One))
        m_Running.push_back(Taken->Id);
      Refused += std::holds_alternative<Refuse>(One);
    }
  }

  Seconds m_Now{0};
  unsigned m_Next = 0;
  std::map<std::string, Request> m_Requests;
  std::list<std::string> m_Running;
};

} // namespace figlift::admission::test
