//===- Main.cpp - Stand-in of a plain service -----------------------------===//
//
// Runs every call that reaches it, repeated ones too, and counts executions
// for each Idempotency-Key, so that a test sees whether work was doubled.
//
//===----------------------------------------------------------------------===//

#include "StandInCommon/Server.h"
#include "StandInCommon/Timer.h"

#include <cxxopts.hpp>
#include <xxhash.h>

#include <cstdio>

using namespace figlift::standin;

namespace {

enum class CrashPoint { None, BeforeEffect, AfterEffect };

class Service {
public:
  Service(const std::string &Listen, std::chrono::microseconds ServiceTime)
      : m_ServiceTime(ServiceTime),
        m_Server(Listen, [this](const Call &Incoming) { handle(Incoming); }) {
    m_Server.OnCrash = [this] { ++m_Life; };
  }

  int run() { return m_Server.run(); }

private:
  void handle(const Call &Incoming) {
    if (Incoming.Path == "/control/book")
      return book(Incoming);
    if (Incoming.Path == "/control/settings")
      return settings(Incoming);
    if (Incoming.Path == "/control/crash")
      return armCrash(Incoming);
    begin(Incoming);
  }

  void book(const Call &Incoming) {
    const std::lock_guard Lock(m_Mutex);
    Incoming.answer(200, {{"executions", m_Executions},
                          {"total", m_Total},
                          {"running", m_Running},
                          {"received", m_Received}});
  }

  void settings(const Call &Incoming) {
    const std::lock_guard Lock(m_Mutex);
    const Json Body = Incoming.json();
    m_ServiceTime = durationOr(Body, "service_time", m_ServiceTime);
    m_FailNext = Body.value("fail_next", m_FailNext);
    Incoming.answer(200, Json::object());
  }

  /// Without "when" the crash happens at once, else at that point of the next
  /// call.
  void armCrash(const Call &Incoming) {
    const Json Body = Incoming.json();
    const std::string When = Body.value("when", "");
    const auto RestartAfter =
        durationOr(Body, "restart_after", std::chrono::seconds(1));
    const std::lock_guard Lock(m_Mutex);
    m_RestartAfter = RestartAfter;
    if (When.starts_with("before"))
      m_CrashPoint = CrashPoint::BeforeEffect;
    else if (When.starts_with("after"))
      m_CrashPoint = CrashPoint::AfterEffect;
    else
      m_Server.crash(RestartAfter);
    Incoming.answer(200, Json::object());
  }

  bool crashesAt(CrashPoint Point) {
    if (m_CrashPoint != Point)
      return false;
    m_CrashPoint = CrashPoint::None;
    m_Server.crash(m_RestartAfter);
    return true;
  }

  void begin(const Call &Incoming) {
    std::chrono::microseconds ServiceTime;
    {
      const std::lock_guard Lock(m_Mutex);
      ++m_Received;
      ++m_Running;
      ServiceTime = m_ServiceTime;
    }
    m_Timer.after(ServiceTime, [this, Incoming, Life = m_Life.load()] {
      finish(Incoming, Life);
    });
  }

  void finish(const Call &Incoming, uint64_t Life) {
    const std::lock_guard Lock(m_Mutex);
    --m_Running;
    if (Life != m_Life || crashesAt(CrashPoint::BeforeEffect))
      return;
    if (m_FailNext > 0) {
      --m_FailNext;
      return Incoming.answer(500, {{"error", "told to fail"}});
    }
    const std::string Key = Incoming.header("Idempotency-Key");
    const uint64_t Execution = Key.empty() ? 1 : ++m_Executions[Key];
    ++m_Total;
    if (crashesAt(CrashPoint::AfterEffect))
      return;
    char Digest[17];
    std::snprintf(Digest, sizeof Digest, "%016llx",
                  static_cast<unsigned long long>(
                      XXH64(Incoming.Body.data(), Incoming.Body.size(), 0)));
    Incoming.answer(200, {{"path", Incoming.Path},
                          {"execution", Execution},
                          {"body_digest", Digest}});
  }

  std::mutex m_Mutex;
  std::chrono::microseconds m_ServiceTime;
  std::chrono::microseconds m_RestartAfter{0};
  CrashPoint m_CrashPoint = CrashPoint::None;
  /// The books outlive crashes: they are the test's, not the service's.
  std::map<std::string, uint64_t> m_Executions;
  uint64_t m_Total = 0;
  uint64_t m_Received = 0;
  uint64_t m_Running = 0;
  unsigned m_FailNext = 0;
  /// Grows with each crash; work of an earlier life has no effect.
  std::atomic<uint64_t> m_Life{0};
  Timer m_Timer;
  Server m_Server;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("service-standin");
  auto Add = Options.add_options();
  Add("listen", "",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  Add("service-time", "", cxxopts::value<std::string>()->default_value("5ms"));
  const auto Flags = Options.parse(ArgumentCount, Arguments);
  prepareProcess();
  Service Running(Flags["listen"].as<std::string>(),
                  parseDuration(Flags["service-time"].as<std::string>()));
  return Running.run();
}
