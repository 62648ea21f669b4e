//===- StatusProvider.h - Fleet status as seen by an entry ------*- C++ -*-===//
//
// Implemented by the entry and served by the operator API.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace figlift::config {

struct TargetLoad {
  uint64_t PrefillTokensWaiting = 0;
  uint32_t RunningSequences = 0;
  uint32_t WaitingRequests = 0;
  uint64_t KvTokensFree = 0;
};

struct TargetStatus {
  /// VM id.
  std::string Id;
  std::string BackEnd;
  std::string Zone;
  /// "recovering", "serving", "draining" or "drained" as reported by the agent;
  /// "unreachable" if the VM list contains the target and no stream to it is
  /// open; "gone" according to the VM list.
  std::string State;
  /// 0 if this entry has not received a report from the agent.
  uint64_t RevisionInForce = 0;
  std::string Role;
  TargetLoad Load;
  uint64_t RequestsInFlight = 0;
};

struct EntryStatus {
  std::string Id;
  /// "serving", "draining" or "unreachable".
  std::string State;
  /// 0 if this entry has not received a message from the other entry.
  uint64_t RevisionInForce = 0;
};

class StatusProvider {
public:
  virtual ~StatusProvider() = default;
  /// Id of this entry.
  virtual std::string entryId() const = 0;
  virtual std::vector<TargetStatus> targets() const = 0;
  /// The other entries that this entry knows.
  virtual std::vector<EntryStatus> entries() const = 0;
  /// Events of a request or a target, oldest first, one line each.
  virtual std::vector<std::string> explain(const std::string &Id) const = 0;
};

} // namespace figlift::config
