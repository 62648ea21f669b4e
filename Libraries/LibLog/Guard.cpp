//===- Guard.cpp - Boundary for unexpected exceptions ---------------------===//
//
// Recording must not throw: logging allocates, and the exception may be that
// memory has run out. The message is counted in any case.
//
//===----------------------------------------------------------------------===//

#include "LibLog/Guard.h"

#include "LibCore/Clock.h"
#include "LibLog/Log.h"

#include <atomic>
#include <chrono>
#include <exception>

namespace figlift::log {

namespace {

constexpr unsigned MaximumLinesPerSecond = 10;

std::atomic<uint64_t> Dropped = 0;
/// \name Lines written in the current second of the clock.
/// @{
std::atomic<int64_t> Second = 0;
std::atomic<unsigned> Lines = 0;
/// @}

bool mayLog() {
  const int64_t Now = std::chrono::duration_cast<std::chrono::seconds>(
                          BootClock::now().time_since_epoch())
                          .count();
  if (Second.exchange(Now) != Now)
    Lines = 0;
  return Lines.fetch_add(1) < MaximumLinesPerSecond;
}

} // namespace

void recordDropped(std::string_view Reason, std::string_view Message) noexcept {
  ++Dropped;
  if (!mayLog())
    return;
  try {
    logEvent(Level::Error, "message-dropped",
             {{"reason", Reason}, {"message", Message}});
  } catch (...) {
    // It has been counted.
  }
}

uint64_t droppedMessages() { return Dropped; }

void detail::recordCaught() noexcept {
  const std::string_view Failed = HandledMessage::failed();
  const std::string_view Message =
      Failed.empty() ? HandledMessage::current() : Failed;
  try {
    throw;
  } catch (const std::exception &Exception) {
    recordDropped(Exception.what(), Message);
  } catch (...) {
    recordDropped("not a std::exception", Message);
  }
}

} // namespace figlift::log
