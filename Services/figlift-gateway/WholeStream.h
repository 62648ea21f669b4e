//===- WholeStream.h - Whether a server's stream is whole -------*- C++ -*-===//
//
// Judges a stream of events whose connection ended in order.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/EventRelay.h"
#include "LibProxy/Message.h"

namespace figlift::gateway {

/// Whether a stream is whole that is complete by its \p Framing and ended at
/// \p End. The end of a connection alone proves nothing, as a server that
/// crashes may close its connections in order. A stream that it delimits
/// therefore has to end with an event.
constexpr bool isWholeStream(dispatch::StreamEnd End,
                             proxy::BodyFraming Framing) {
  switch (End) {
  case dispatch::StreamEnd::AfterEvent:
    return true;
  case dispatch::StreamEnd::InsideEvent:
    return false;
  case dispatch::StreamEnd::WithoutEvent:
    return Framing != proxy::BodyFraming::ConnectionEnd;
  }
  return false;
}

} // namespace figlift::gateway
