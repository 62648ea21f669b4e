//===- Reader.h - Who waits for an answer --------------------*- C++ -*-===//
//
// One stream of an entry and the ids that its frames and log lines carry.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "PeerHandler.h"

#include <string>

namespace figlift::agent {

/// The stream that waits for an answer, and for which attempt.
struct Reader {
  StreamId Stream = 0;
  std::string RequestId;
  std::string AttemptId;
};

} // namespace figlift::agent
