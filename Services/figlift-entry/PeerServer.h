//===- PeerServer.h - Requests from other processes -------------*- C++ -*-===//
//
// Serves the Configuration method. Streams of other methods are refused, which
// guarantees to the sender that they were not processed.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibConfig/Snapshot.h"
#include "LibWire/Wire.h"

#include <functional>
#include <memory>

namespace figlift::entry {

class PeerServer final : public wire::ServerListener {
public:
  /// Null until a configuration has been received. Called on any thread.
  using CurrentConfiguration = std::function<config::SnapshotPointer()>;

  explicit PeerServer(CurrentConfiguration Current)
      : m_Current(std::move(Current)) {}

  std::shared_ptr<wire::StreamListener>
  onStream(wire::Method Method, std::shared_ptr<wire::Stream> Stream) override;

private:
  const CurrentConfiguration m_Current;
};

} // namespace figlift::entry
