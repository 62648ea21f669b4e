//===- Snapshot.h - Status for the admin listener ---------------*- C++ -*-===//
//
// An immutable copy of the agent's state for the threads of the admin listener.
// The event loop replaces it as a whole.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Result.h"

#include <atomic>
#include <memory>
#include <string>

namespace figlift::agent {

struct Snapshot {
  /// Body of GET /status.
  std::string Json = "{}";
  /// Reason for accepting no new work; empty if work is accepted.
  std::optional<Error> NotReady =
      Error{ResultCode::NotReady, "starting", {}, std::nullopt};
};

/// Readers never wait for the event loop.
class SnapshotHolder {
public:
  void publish(Snapshot Next) {
    m_Current.store(std::make_shared<const Snapshot>(std::move(Next)));
  }
  std::shared_ptr<const Snapshot> read() const { return m_Current.load(); }

private:
  std::atomic<std::shared_ptr<const Snapshot>> m_Current{
      std::make_shared<const Snapshot>()};
};

} // namespace figlift::agent
