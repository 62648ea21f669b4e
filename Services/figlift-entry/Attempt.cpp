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
                 Identity Names, route::InFlightTicket Ticket,
                 uint32_t PrefixTokensBelieved)
    : m_Owner(std::move(Owner)), m_Link(std::move(Link)),
      m_Names(std::move(Names)), m_Ticket(std::move(Ticket)),
      m_PrefixTokensBelieved(PrefixTokensBelieved) {}

Attempt::~Attempt() = default;

void Attempt::send(wire::Method What, std::string FirstMessage) {
  std::shared_ptr<wire::Stream> Opened =
      m_Link->channel().open(What, std::move(FirstMessage), shared_from_this());
  m_Stream.store(Opened);
  // A cancel that came before the store found no stream to reset.
  if (Opened && m_CancelWanted.load())
    Opened->cancel();
}

void Attempt::cancel() {
  m_CancelWanted.store(true);
  if (const auto Open = m_Stream.load())
    Open->cancel();
}

bool Attempt::isOwn(const wire::RunFrame &Frame) const {
  return Frame.request_id() == m_Names.RequestId &&
         Frame.attempt_id() == m_Names.AttemptId;
}

void Attempt::onMessage(std::string_view Message) {
  if (m_Settled)
    return;
  // The call lets go of its attempt while it is told of the end.
  const auto Self = shared_from_this();
  wire::RunFrame Frame;
  if (!Frame.ParseFromArray(Message.data(), static_cast<int>(Message.size()))) {
    log::logRequest(log::Level::Warning, "frame-malformed", m_Names.RequestId,
                    m_Names.AttemptId, {{"bytes", Message.size()}});
    return cancel();
  }
  if (!isOwn(Frame))
    return m_Owner->context().Metrics.FramesDropped.add();
  learn(Frame);
  pass(Frame);
}

void Attempt::learn(const wire::RunFrame &Frame) {
  m_Owner->context().Events.received(Frame.clock());
  m_Owner->context().OnRevision(Frame.revision());
  if (!Frame.has_load())
    return;
  m_Link->gauge().report(loadFromWire(Frame.load()), BootClock::now());
  m_Ticket.settle();
}

void Attempt::learnHit(uint32_t CachedPromptTokens) {
  if (m_PrefixTokensBelieved > 0)
    m_Link->gauge().recordCacheHits(m_PrefixTokensBelieved, CachedPromptTokens);
}

void Attempt::pass(const wire::RunFrame &Frame) {
  using Body = wire::RunFrame::BodyCase;
  switch (Frame.body_case()) {
  case Body::kAccepted:
    return m_Owner->onAccepted();
  case Body::kTokens:
    m_Settled = !m_Owner->onTokens(*this, Frame.tokens());
    break;
  case Body::kFinished:
    learnHit(Frame.finished().cached_prompt_tokens());
    m_Settled = true;
    m_Owner->onFinished(*this, Frame.finished());
    break;
  case Body::kRefusal:
    m_Settled = true;
    m_Owner->onRefusal(*this, Frame.refusal());
    break;
  case Body::kServiceAnswer:
    m_Settled = true;
    m_Owner->onServiceAnswer(*this, Frame.service_answer());
    break;
  case Body::kFailure:
    m_Settled = true;
    m_Owner->onFailure(*this, Frame.failure());
    break;
  case Body::BODY_NOT_SET:
    break;
  }
}

void Attempt::onEnd(wire::StreamEnd End) {
  m_Ticket.settle();
  const auto Self = shared_from_this();
  if (std::exchange(m_Settled, true))
    return;
  m_Owner->onBroken(*this, End);
}

} // namespace figlift::entry
