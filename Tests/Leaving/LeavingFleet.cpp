//===- LeavingFleet.cpp - A fleet that a target leaves under load ---------===//
//
// See LeavingFleet.h.
//
//===----------------------------------------------------------------------===//

#include "LeavingFleet.h"

#include "Support/WaitUntil.h"

namespace figlift::test {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Calls that the other targets serve while nothing may come to the one that
/// leaves.
static constexpr size_t CallsWithoutNews = 40;

FleetOptions leavingFleet() {
  FleetOptions Options = smallFleet();
  TargetOptions Engine = Options.Targets[0];
  // Long streams last under a second, so that many calls fit into a test.
  Engine.StandInFlags = {"--decode-step", "4ms", "--prefill-rate", "100000"};
  const TargetOptions Service = Options.Targets[2];
  Options.Targets.clear();
  for (int Number = 1; Number <= 4; ++Number) {
    Options.Targets.push_back(Engine);
    Options.Targets.back().Id = "lm-desk-" + std::to_string(Number);
  }
  for (int Number = 1; Number <= 2; ++Number) {
    Options.Targets.push_back(Service);
    Options.Targets.back().Id = "booking-core-" + std::to_string(Number);
  }
  Options.VmListLag = ListLag;
  return Options;
}

size_t taken(const Fleet &Of, const std::string &Target) {
  const json Book = Of.book(Target);
  if (Book.contains("requests"))
    return Book["requests"].size();
  return Book.value("received", size_t(0));
}

size_t cut(const Fleet &Of, const std::string &Target) {
  size_t Count = 0;
  const json Book = Of.book(Target);
  for (const json &Each : Book.value("requests", json::array()))
    Count += Each["outcome"] != "finished" && Each["outcome"] != "running";
  return Count;
}

std::optional<milliseconds> lastNewWork(const Fleet &Of, MixedCallers &Load,
                                        const std::string &Target,
                                        steady_clock::time_point Told,
                                        size_t Before) {
  const auto End = Told + 2 * Limit;
  auto Last = Told;
  while (steady_clock::now() < End) {
    // Looked at often, so that the time of the last new request is known.
    size_t Now = Before;
    bool Quiet = false;
    for (size_t Calls = 0; Calls < CallsWithoutNews; Calls += 10) {
      if (!Load.waitForSuccesses(10, Limit))
        return std::nullopt;
      Now = taken(Of, Target);
      Quiet = Now == Before;
      if (!Quiet)
        break;
    }
    if (Quiet)
      return std::chrono::duration_cast<milliseconds>(Last - Told);
    Before = Now;
    Last = steady_clock::now();
  }
  return std::nullopt;
}

} // namespace figlift::test
