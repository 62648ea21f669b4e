//===- StreamWriter.h - Writes to the streams of peers ----------*- C++ -*-===//
//
// Interface through which the agent's components reply to peers. Event loop's
// thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "PeerHandler.h"

#include <google/protobuf/message_lite.h>

namespace figlift::agent {

class StreamWriter {
public:
  virtual ~StreamWriter() = default;
  /// Does nothing if the stream has ended.
  virtual void send(StreamId Stream,
                    const google::protobuf::MessageLite &Message) = 0;
  /// Ends the stream normally after the messages that were sent.
  virtual void finish(StreamId Stream) = 0;
  /// Resets the stream.
  virtual void cancel(StreamId Stream) = 0;
};

} // namespace figlift::agent
