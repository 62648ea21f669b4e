//===- RunLedger.h - What ran, and what callers were told -------*- C++ -*-===//
//
// Compares the executions that servers began with the statuses that callers
// got. Reports what breaks a promise; see violations().
//
//===----------------------------------------------------------------------===//

#pragma once

#include <map>
#include <string>
#include <vector>

namespace figlift::testing {

enum class Repeats { Once, Allowed };

class RunLedger {
public:
  void recordRequest(const std::string &AttemptId, Repeats Kind,
                     unsigned MaximumRuns);
  /// A server began to execute the request.
  void recordRun(const std::string &AttemptId);
  /// The caller got an answer; 0 for a connection that ended without one.
  void recordAnswer(const std::string &AttemptId, unsigned Status,
                    const std::string &Body);

  const std::vector<std::string> &violations() const { return m_Violations; }
  unsigned answers(unsigned Status) const;

private:
  struct Entry {
    Repeats Kind = Repeats::Once;
    unsigned MaximumRuns = 1;
    unsigned Runs = 0;
    bool PromisedNotRun = false;
  };
  std::map<std::string, Entry> m_Entries;
  std::map<unsigned, unsigned> m_Answers;
  std::vector<std::string> m_Violations;
};

} // namespace figlift::testing
