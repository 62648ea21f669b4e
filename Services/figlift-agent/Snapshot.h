//===- Snapshot.h - What the admin listener shows ---------------*- C++ -*-===//
//
// A copy of the agent's state for the threads of the admin listener, replaced
// as a whole by the loop.
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
  /// Why no new work is taken; absent when it is.
  std::optional<Error> NotReady =
      Error{ResultCode::NotReady, "starting", {}, std::nullopt};
};

/// Readers never wait for the loop.
class SnapshotHolder {
public:
  void publish(Snapshot New) {
    m_Current.store(std::make_shared<const Snapshot>(std::move(New)));
  }
  std::shared_ptr<const Snapshot> read() const { return m_Current.load(); }

private:
  std::atomic<std::shared_ptr<const Snapshot>> m_Current{
      std::make_shared<const Snapshot>()};
};

} // namespace figlift::agent
