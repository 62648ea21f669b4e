//===- AttemptStream.h - Stream of one attempt ------------------*- C++ -*-===//
//
// A stream of an entry and the ids that its frames and log lines carry.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "PeerHandler.h"

#include <string>

namespace figlift::agent {

/// The stream on which an attempt is answered.
struct AttemptStream {
  StreamId Stream = 0;
  std::string RequestId;
  std::string AttemptId;
};

} // namespace figlift::agent
