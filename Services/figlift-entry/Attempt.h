//===- Attempt.h - One stream of a call to an agent -------------*- C++ -*-===//
//
// Receives the frames of one Run or Resume stream, drops those of other
// attempts, and forwards the rest to the call until the attempt has ended.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/CallContext.h"

#include "LibRoute/InFlightBook.h"

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
          Identity Names, route::InFlightTicket Ticket,
          uint32_t PrefixTokensBelieved);
  ~Attempt() override;

  /// Opens the stream. onEnd() may be called before this returns.
  void send(wire::Method What, std::string FirstMessage);
  /// Resets the stream, which then ends as Cancelled.
  void cancel();

  const Identity &identity() const { return m_Names; }
  const std::shared_ptr<TargetLink> &link() const { return m_Link; }

  void onMessage(std::string_view Message) override;
  void onEnd(wire::StreamEnd End) override;

private:
  bool isOwn(const wire::RunFrame &Frame) const;
  void learn(const wire::RunFrame &Frame);
  void pass(const wire::RunFrame &Frame);
  void learnHit(uint32_t CachedPromptTokens);

  const std::shared_ptr<Call> m_Owner;
  const std::shared_ptr<TargetLink> m_Link;
  const Identity m_Names;
  route::InFlightTicket m_Ticket;
  const uint32_t m_PrefixTokensBelieved;
  /// The end has been reported to the call. Later frames are dropped, because
  /// the next attempt of the call may already run on another thread.
  bool m_Settled = false;
  std::atomic<bool> m_CancelWanted{false};
  std::atomic<std::shared_ptr<wire::Stream>> m_Stream;
};

} // namespace figlift::entry
