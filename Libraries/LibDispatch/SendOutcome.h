//===- SendOutcome.h - How a send of a request ended ------------*- C++ -*-===//
//
// What is known of a send that brought no answer, and whether its server may
// have run the request.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <string_view>
#include <variant>

namespace figlift::dispatch {

/// \name Outcomes of a send.
/// @{
/// No byte was sent: the server has not seen the request.
struct NotSent {
  /// The attempt to connect failed. Unlike a lack of free connections, this
  /// does not show that the service is full.
  bool ConnectFailed = false;
};
/// The server answered that it has not run the request and never will.
struct Rejected {};
/// The server answered that it failed, without the statement that it has not
/// run the request. That holds whatever the status is.
struct ServerFailed {
  unsigned Status = 500;
};
/// The connection or the response was interrupted, or the response was invalid.
struct ConnectionLost {};
/// There was no answer within the planned time.
struct TimedOut {};
/// @}
using SendOutcome =
    std::variant<NotSent, Rejected, ServerFailed, ConnectionLost, TimedOut>;

/// Short text for the log.
std::string_view describe(const SendOutcome &Outcome);

/// Whether the server may have run a request with this outcome.
bool mayHaveRun(const SendOutcome &Outcome);

/// Whether a status states that the request has not run and never will. Callers
/// then send it again, also if it must not run twice.
constexpr bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace figlift::dispatch
