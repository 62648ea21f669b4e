//===- Attempt.cpp - One stream of a call to an agent ---------------------===//
//
// See Attempt.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Attempt.h"

#include "figlift-entry/Call.h"
#include "figlift-entry/LoadMessage.h"

#include "LibLog/Log.h"

#include <utility>

namespace figlift::entry {

Attempt::Attempt(std::shared_ptr<Call> Owner, std::shared_ptr<TargetLink> Link,
                 Identity Ids, route::InFlightTicket Ticket,
                 uint32_t ExpectedPrefixTokens)
    : m_Owner(std::move(Owner)), m_Link(std::move(Link)), m_Ids(std::move(Ids)),
      m_Ticket(std::move(Ticket)),
      m_ExpectedPrefixTokens(ExpectedPrefixTokens) {}

Attempt::~Attempt() = default;

void Attempt::send(wire::Method Method, std::string FirstMessage) {
  std::shared_ptr<wire::Stream> Stream = m_Link->channel().open(
      Method, std::move(FirstMessage), shared_from_this());
  m_Stream.store(Stream);
  // cancel() may have run before the stream was stored, with nothing to reset.
  if (Stream && m_CancelRequested.load())
    Stream->cancel();
}

void Attempt::cancel() {
  m_CancelRequested.store(true);
  if (const auto Stream = m_Stream.load())
    Stream->cancel();
}

bool Attempt::belongsToAttempt(const wire::RunFrame &Frame) const {
  return Frame.request_id() == m_Ids.RequestId &&
         Frame.attempt_id() == m_Ids.AttemptId;
}

void Attempt::onMessage(std::string_view Message) {
  if (m_Ended)
    return;
  // The call may drop its last reference to this attempt while it handles the
  // end of the attempt.
  const auto Self = shared_from_this();
  wire::RunFrame Frame;
  if (!Frame.ParseFromArray(Message.data(), static_cast<int>(Message.size()))) {
    log::logRequest(log::Level::Warning, "frame-malformed", m_Ids.RequestId,
                    m_Ids.AttemptId, {{"bytes", Message.size()}});
    return cancel();
  }
  if (!belongsToAttempt(Frame))
    return m_Owner->context().Metrics.FramesDropped.add();
  updateTarget(Frame);
  dispatch(Frame);
}

void Attempt::updateTarget(const wire::RunFrame &Frame) {
  m_Owner->context().Events.received(Frame.clock());
  m_Owner->context().OnRevision(Frame.revision());
  if (!Frame.has_load())
    return;
  m_Link->gauge().report(loadFromWire(Frame.load()), BootClock::now());
  m_Ticket.settle();
}

void Attempt::recordPrefixHit(uint32_t CachedPromptTokens) {
  if (m_ExpectedPrefixTokens > 0)
    m_Link->gauge().recordCacheHits(m_ExpectedPrefixTokens, CachedPromptTokens);
}

void Attempt::dispatch(const wire::RunFrame &Frame) {
  using Body = wire::RunFrame::BodyCase;
  switch (Frame.body_case()) {
  case Body::kAccepted:
    return m_Owner->onAccepted();
  case Body::kTokens:
    m_Ended = !m_Owner->onTokens(*this, Frame.tokens());
    break;
  case Body::kFinished:
    recordPrefixHit(Frame.finished().cached_prompt_tokens());
    m_Ended = true;
    m_Owner->onFinished(*this, Frame.finished());
    break;
  case Body::kRefusal:
    m_Ended = true;
    m_Owner->onRefusal(*this, Frame.refusal());
    break;
  case Body::kServiceAnswer:
    m_Ended = true;
    m_Owner->onServiceAnswer(*this, Frame.service_answer());
    break;
  case Body::kFailure:
    m_Ended = true;
    m_Owner->onFailure(*this, Frame.failure());
    break;
  case Body::BODY_NOT_SET:
    break;
  }
}

void Attempt::onEnd(wire::StreamEnd End) {
  m_Ticket.settle();
  const auto Self = shared_from_this();
  if (std::exchange(m_Ended, true))
    return;
  m_Owner->onStreamEnd(*this, End);
}

} // namespace figlift::entry
