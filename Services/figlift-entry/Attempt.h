//===- Attempt.h - One stream of a call to an agent -------------*- C++ -*-===//
//
// Checks the frames of one Run or Resume and passes on those that belong to
// it, until the attempt has ended once.
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

/// Frames arrive on the I/O thread of the channel, one at a time. cancel()
/// may be called from any thread.
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

  /// Opens the stream. The end may be reported before this returns.
  void send(wire::Method What, std::string FirstMessage);
  /// Resets the stream; the end is reported as Cancelled.
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
  /// The call was told of the end; nothing of this attempt reaches it any
  /// more, because its next attempt may be running on another thread.
  bool m_Settled = false;
  std::atomic<bool> m_CancelWanted{false};
  std::atomic<std::shared_ptr<wire::Stream>> m_Stream;
};

} // namespace figlift::entry
