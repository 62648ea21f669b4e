//===- Replies.h - Way back to peers' streams -------------------*- C++ -*-===//
//
// Interface through which the agent's parts answer; loop thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "PeerHandler.h"

#include <google/protobuf/message_lite.h>

namespace figlift::agent {

class Replies {
public:
  virtual ~Replies() = default;
  /// Nothing happens when the stream has ended.
  virtual void send(StreamId Stream,
                    const google::protobuf::MessageLite &Message) = 0;
  /// Ends the stream in good order after what was sent.
  virtual void finish(StreamId Stream) = 0;
  /// Resets the stream.
  virtual void cancel(StreamId Stream) = 0;
};

} // namespace figlift::agent
