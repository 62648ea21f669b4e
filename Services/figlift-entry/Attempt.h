//===- Attempt.h - One stream of a call to an agent -------------*- C++ -*-===//
//
// Receives the frames of one Run or Resume stream, drops those of other
// attempts, and forwards the rest to the call until the attempt has ended.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/CallContext.h"

#include "LibRoute/InFlightTracker.h"

#include <atomic>
#include <memory>
#include <string>

namespace figlift::entry {

class Call;

/// Frames arrive one at a time on the I/O thread of the channel. cancel() is
/// thread-safe.
class Attempt final : public wire::StreamListener,
                      public std::enable_shared_from_this<Attempt> {
public:
  struct Identity {
    std::string RequestId;
    std::string AttemptId;
  };

  Attempt(std::shared_ptr<Call> Owner, std::shared_ptr<TargetLink> Link,
          Identity Ids, route::InFlightTicket Ticket,
          uint32_t ExpectedPrefixTokens);
  ~Attempt() override;

  /// Opens the stream. onEnd() may be called before this returns.
  void send(wire::Method Method, std::string FirstMessage);
  /// Resets the stream, which then ends as Cancelled.
  void cancel();

  const Identity &identity() const { return m_Ids; }
  const std::shared_ptr<TargetLink> &link() const { return m_Link; }

  void onMessage(std::string_view Message) override;
  void onEnd(wire::StreamEnd End) override;

private:
  bool belongsToAttempt(const wire::RunFrame &Frame) const;
  void updateTarget(const wire::RunFrame &Frame);
  void dispatch(const wire::RunFrame &Frame);
  void recordPrefixHit(uint32_t CachedPromptTokens);

  const std::shared_ptr<Call> m_Owner;
  const std::shared_ptr<TargetLink> m_Link;
  const Identity m_Ids;
  route::InFlightTicket m_Ticket;
  const uint32_t m_ExpectedPrefixTokens;
  /// The end has been reported to the call. Later frames are dropped, because
  /// the next attempt of the call may already run on another thread.
  bool m_Ended = false;
  std::atomic<bool> m_CancelRequested{false};
  std::atomic<std::shared_ptr<wire::Stream>> m_Stream;
};

} // namespace figlift::entry
