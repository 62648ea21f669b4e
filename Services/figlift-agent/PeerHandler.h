//===- PeerHandler.h - Requests of other figlift processes ------*- C++ -*-===//
//
// Interface for messages from entries and other agents. All members are called
// on the event loop's thread.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibWire/Messages.pb.h"
#include "LibWire/Wire.h"

#include <cstdint>

namespace figlift::agent {

/// Identifies a stream of a peer; never reused.
using StreamId = uint64_t;

class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  virtual void onRun(StreamId Stream, wire::RunRequest Request) = 0;
  virtual void onResume(StreamId Stream, wire::ResumeRequest Request) = 0;
  virtual void onOrder(StreamId Stream, wire::OrderRequest Request) = 0;
  virtual void onSync(StreamId Stream, wire::SyncUp Message) = 0;
  virtual void onDrain(StreamId Stream, wire::DrainRequest Request) = 0;
  virtual void onHandover(StreamId Stream, wire::HandoverRequest Request) = 0;
  virtual void onConfiguration(StreamId Stream,
                               wire::ConfigurationRequest Request) = 0;
  /// The last call for a stream.
  virtual void onStreamEnd(StreamId Stream, wire::StreamEnd End) = 0;
};

} // namespace figlift::agent
