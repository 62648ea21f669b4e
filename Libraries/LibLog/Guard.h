//===- Guard.h - Boundary for unexpected exceptions -------------*- C++ -*-===//
//
// An exception that leaves an event handler ends the process with everything
// that it has accepted. A guard stands where one message is handled: it drops
// that message, and the process goes on. The code around a guard has to keep
// its own chain of events going: the next read, the next tick, the end of the
// call that waits for the result.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibLog/HandledMessage.h"

#include <cstdint>
#include <string_view>
#include <utility>

namespace figlift::log {

/// Counts a dropped message and logs "message-dropped", at most ten times a
/// second. \p Message as in HandledMessage::failed().
void recordDropped(std::string_view Reason, std::string_view Message) noexcept;
/// Messages that this process has dropped.
uint64_t droppedMessages();

namespace detail {
/// Records the exception that is being handled.
void recordCaught() noexcept;
} // namespace detail

/// Runs \p Work within a scope of HandledMessage. If it throws, records what
/// was thrown and returns false.
template <typename Function>
bool guarded(std::string_view Kind, std::string_view Source,
             Function &&Work) noexcept {
  try {
    const HandledMessage Scope(Kind, Source);
    std::forward<Function>(Work)();
    return true;
  } catch (...) {
    detail::recordCaught();
    return false;
  }
}

} // namespace figlift::log
