//===- ServiceFleet.h - Keyed calls and the services' books -----*- C++ -*-===//
//
// A fleet of plain services and a journal of what its callers were told. The
// journal is judged against the books of the service stand-ins, which count
// executions of each key and outlive every crash.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Fleet.h"

#include "LibIdempotency/HomeDirectory.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace figlift::test {

inline constexpr int OutcomeUnknownCode = 301;
inline constexpr int KeyTooFarAheadCode = 106;
/// Margin of key times in this fleet; the stand-ins share one clock.
inline constexpr std::chrono::milliseconds KeyTimeMargin{600};
/// Longest wait for something that must come.
inline constexpr std::chrono::seconds Patience{20};

class ServiceFleet {
public:
  explicit ServiceFleet(unsigned Services);

  Fleet &fleet() { return m_Fleet; }
  /// Waits until agents hold all slices; empty, or what is wrong.
  std::string waitUntilHeld();

  /// One call of \p Key (empty: without a key) that may not be repeated; kept
  /// in the journal.
  Answer send(const std::string &Entry, const std::string &Key,
              std::chrono::milliseconds Deadline = std::chrono::seconds(5));
  /// Calls again until the answer is an HTTP success or "outcome unknown".
  Answer sendUntilSettled(const std::string &Entry, const std::string &Key);

  /// The row of grants as the table has it; all empty when the store is out.
  idempotency::GrantTable grants() const;
  std::string homeOf(const std::string &Key) const;
  /// A new key whose home is \p Home; empty when it gets none in time.
  std::string keyAt(const std::string &Home) const;
  /// A new key whose home is \p Home and that no change of home until now can
  /// make old.
  std::string newKeyAt(const std::string &Home) const;
  /// Slices that the agent \p Home reports as held; -1 when it is silent.
  int slicesHeld(const std::string &Home) const;

  /// From now on writes of the row of grants take effect \p Delay later.
  void slowSliceWrites(std::chrono::milliseconds Delay);
  int platformStatistic(const std::string &Name) const;

  void setServices(const nlohmann::json &Settings);
  void crashService(const std::string &Home, const std::string &When);
  /// Executions of \p Key over all services.
  int executionsOf(const std::string &Key) const;
  /// Member \p Name of the books, added up over all services.
  int count(const std::string &Name) const;
  bool waitForRunning(int Calls) const;

  /// Compares the journal with the books when no call runs any more; empty,
  /// or the first promise that was broken.
  std::string judge();
  /// Shares of "outcome unknown", and of refusals of calls whose key another
  /// call ran, in words.
  std::string figures() const;

private:
  struct Line {
    std::string Key;
    Answer Got;
  };
  using Told = std::vector<const Answer *>;

  /// The book of a service, after its restart when it crashed.
  nlohmann::json bookOf(const std::string &Home) const;
  std::map<std::string, int> executions() const;
  static std::string judgeKey(const std::string &Key, const Told &Answers,
                              int Executions);

  std::vector<std::string> m_Homes;
  Fleet m_Fleet;
  mutable std::mutex m_Mutex;
  std::vector<Line> m_Journal;
};

} // namespace figlift::test
