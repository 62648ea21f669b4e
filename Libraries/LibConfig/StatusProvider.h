//===- StatusProvider.h - What an entry knows of the others -----*- C++ -*-===//
//
// Implemented by the entry; the operator API shows it.
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
  /// "recovering", "serving", "draining", "drained" as the agent says;
  /// "unreachable" when it is on the VM list and no stream to it is up;
  /// "gone" when the list says so.
  std::string State;
  /// 0 when this entry has no word from the agent.
  uint64_t RevisionInForce = 0;
  std::string Role;
  TargetLoad Load;
  uint64_t RequestsInFlight = 0;
};

struct EntryStatus {
  std::string Id;
  /// "serving", "draining" or "unreachable".
  std::string State;
  /// 0 when this entry has no word from the other.
  uint64_t RevisionInForce = 0;
};

class StatusProvider {
public:
  virtual ~StatusProvider() = default;
  /// Id of this entry.
  virtual std::string entryId() const = 0;
  virtual std::vector<TargetStatus> targets() const = 0;
  /// The other entries as far as this one knows them.
  virtual std::vector<EntryStatus> entries() const = 0;
  /// Events that name a request or a target, oldest first, a line each.
  virtual std::vector<std::string> explain(const std::string &Id) const = 0;
};

} // namespace figlift::config
