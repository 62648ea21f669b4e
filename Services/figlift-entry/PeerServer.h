//===- PeerServer.h - What other processes ask an entry ---------*- C++ -*-===//
//
// Answers the Configuration method; every other one is refused, provably
// unprocessed.
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
  /// Null before the first configuration; any thread.
  using CurrentConfiguration = std::function<config::SnapshotPointer()>;

  explicit PeerServer(CurrentConfiguration Current)
      : m_Current(std::move(Current)) {}

  std::shared_ptr<wire::StreamListener>
  onStream(wire::Method What, std::shared_ptr<wire::Stream> Opened) override;

private:
  const CurrentConfiguration m_Current;
};

} // namespace figlift::entry
