//===- Platform.h - Stand-in of the platform --------------------*- C++ -*-===//
//
// Table, objects, VM list and weight store behind one listener, with faults
// that a test switches on.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "RateLimit.h"
#include "StandInCommon/Server.h"
#include "StandInCommon/Timer.h"
#include "TableStore.h"

#include <deque>

namespace figlift::standin {

struct PlatformOptions {
  std::string Listen;
  /// Operations in each second; 0 means no limit.
  double ReadsPerSecond = 0;
  double WritesPerSecond = 0;
  double WeightsPerSecond = 0;
  uint64_t WeightBytes = 0;
};

class Platform {
public:
  explicit Platform(const PlatformOptions &Options);
  int run() { return m_Server.run(); }

private:
  enum class Mode { None, Down, Slow, EffectWithoutAnswer, LostBeforeEffect };

  struct Fault {
    Mode Kind = Mode::None;
    /// Slow: added time. The lost answers: how long the connection hangs.
    std::chrono::microseconds Delay{0};
    /// Operations that it still hits; absent: until it is switched off.
    std::optional<uint64_t> Remaining;
    /// Path prefix of the operations that it hits.
    std::string Scope;
    /// Only operations with this text in their body, such as a row's key.
    std::string Containing;
  };

  void handle(const Call &Incoming);
  void control(const Call &Incoming, const std::string &Name);
  void setFault(const Call &Incoming);
  void setVms(const Call &Incoming);
  Fault takeFault(const Call &Incoming, bool IsWrite);
  void loseAnswer(const Call &Incoming, const Fault &Active);
  void serve(const Call &Incoming, bool IsWrite);
  void answerWrite(const Call &Incoming, const Fault &Active);
  int write(const Call &Incoming, Json &Answer);
  void read(const Call &Incoming);
  void readWeights(const Call &Incoming);
  void readVms(const Call &Incoming);
  Json visibleVms();

  PlatformOptions m_Options;
  TableStore m_Table;
  RateLimit m_ReadLimit;
  RateLimit m_WriteLimit;
  RateLimit m_WeightLimit;
  Timer m_Timer;

  std::mutex m_Mutex;
  Fault m_Fault;
  std::map<std::string, std::string> m_Objects;
  /// Lists in the order of their posting; the first is visible at once.
  std::deque<std::pair<SteadyTime, Json>> m_VmLists;
  std::chrono::microseconds m_VmLag{0};

  /// The VM list's are counted among both.
  std::atomic<uint64_t> m_Reads{0};
  std::atomic<uint64_t> m_ListReads{0};
  std::atomic<uint64_t> m_Writes{0};
  std::atomic<uint64_t> m_Commits{0};
  std::atomic<uint64_t> m_Conflicts{0};
  std::atomic<uint64_t> m_Refused{0};
  std::atomic<uint64_t> m_FaultsTaken{0};
  /// Slow operations that have not taken effect yet.
  std::atomic<uint64_t> m_Delayed{0};
  std::atomic<uint64_t> m_WeightFetches{0};
  Server m_Server;
};

} // namespace figlift::standin
