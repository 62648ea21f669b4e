//===- Admission.cpp - Admission control of one target ----------*- C++ -*-===//
//
// Transitions of the admission state machine.
//
//===----------------------------------------------------------------------===//

#include "LibAdmission/Admission.h"

#include <algorithm>

namespace figlift::admission {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr milliseconds RetryWithoutEstimate{500};
/// Margin for the error of the estimate. Under overload, the queue is as long
/// as the deadlines permit; without the margin, a part of the work would be
/// done and finish just after its deadline.
constexpr double EstimateMargin = 1.05;
constexpr milliseconds MinimumRetryAfter{50};
constexpr milliseconds MaximumRetryAfter{30000};

size_t index(ServiceClass Class) { return static_cast<size_t>(Class); }

milliseconds boundedRetryAfter(Seconds Time) {
  return std::clamp(std::chrono::ceil<milliseconds>(Time), MinimumRetryAfter,
                    MaximumRetryAfter);
}

uint32_t expectedPrefill(const Work &Request) {
  const uint32_t Cached =
      std::min(Request.ExpectedCachedTokens, Request.PromptTokens);
  return std::max<uint32_t>(Request.PromptTokens - Cached, 1);
}

} // namespace

Admission::Admission(AdmissionSettings Settings) : m_Settings(Settings) {}

std::vector<Action> Admission::step(const Event &Input, BootTime Now) {
  Actions Out;
  std::visit([&](const auto &Alternative) { on(Alternative, Now, Out); },
             Input);
  return Out;
}

void Admission::on(const RequestArrived &Event, BootTime Now, Actions &Out) {
  const Work &Request = Event.Request;
  // Work that a draining target refuses is retried on another target, which
  // counts it.
  if (m_Accepting) {
    m_OfferedPrefill += expectedPrefill(Request);
    m_OfferedDecode += Request.MaximumTokens;
  }
  if (auto Refusal = refusalFor(Request, Now)) {
    Out.push_back(*Refusal);
    return;
  }
  const size_t Class = index(Request.Class);
  Entry &New = m_Requests[Request.Id];
  New = {Request, Stage::Queued, expectedPrefill(Request), 0};
  m_PrefillWaiting[Class] += New.PrefillTokens;
  m_DecodeWaiting += Request.MaximumTokens;
  m_Queues[Class].push_back(Request.Id);
  admitQueued(Now, Out);
  if (New.At == Stage::Queued)
    Out.push_back(Enqueue{Request.Id});
}

void Admission::on(const FirstToken &Event, BootTime Now, Actions &Out) {
  const auto Found = m_Requests.find(Event.Id);
  if (Found == m_Requests.end() || Found->second.At != Stage::Prefill)
    return;
  Entry &Current = Found->second;
  const uint32_t Prompt = Current.Request.PromptTokens;
  finishPrefill(Current,
                Event.CachedPromptTokens > 0
                    ? Prompt - std::min(Event.CachedPromptTokens, Prompt)
                    : Current.PrefillTokens,
                Now);
  Current.At = Stage::Decode;
  Current.LastToken = m_Speed.mark(Now);
  ++m_Decoding;
  if (Current.Request.MaximumTokens > 0) {
    Current.Produced = 1;
    m_DecodeWaiting -= 1;
  }
  admitQueued(Now, Out);
}

void Admission::on(const Progress &Event, BootTime Now, Actions &) {
  const auto Found = m_Requests.find(Event.Id);
  if (Found == m_Requests.end() || Found->second.At != Stage::Decode)
    return;
  Entry &Current = Found->second;
  const uint32_t Remaining = Current.Request.MaximumTokens - Current.Produced;
  const uint32_t Counted = std::min(Event.Tokens, Remaining);
  m_Speed.recordTokens(Current.LastToken, Event.Tokens, m_Decoding, Now);
  Current.Produced += Counted;
  m_DecodeWaiting -= Counted;
}

void Admission::on(const RequestEnded &Event, BootTime Now, Actions &Out) {
  remove(Event.Id, Now);
  admitQueued(Now, Out);
}

void Admission::on(const AcceptingChanged &Event, BootTime Now, Actions &Out) {
  const bool Reopened = Event.Accepting && !m_Accepting;
  m_Accepting = Event.Accepting;
  m_NotAcceptingCode = Event.Code;
  if (m_Accepting) {
    // The target may have a new role, and the speeds of the old one do not
    // apply to it.
    if (Reopened)
      m_Speed.reset();
    admitQueued(Now, Out);
    return;
  }
  for (auto &Queue : m_Queues)
    while (!Queue.empty()) {
      const std::string Id = Queue.front();
      remove(Id, Now);
      Out.push_back(Refuse{Id, m_NotAcceptingCode, RetryWithoutEstimate});
    }
}

void Admission::on(const SettingsChanged &Event, BootTime Now, Actions &Out) {
  m_Settings = Event.Settings;
  admitQueued(Now, Out);
}

void Admission::on(const Tick &, BootTime Now, Actions &Out) {
  refuseUnreachableDeadlines(Now, Out);
  admitQueued(Now, Out);
}

unsigned Admission::sequenceSlots() const {
  return std::min(m_Settings.MaximumSequences, m_Settings.BatchSize);
}

bool Admission::fitsAtTarget(const Entry &Candidate) const {
  if (m_AtTarget >= sequenceSlots())
    return false;
  // The share of a class limits it together with the less urgent ones. The rest
  // of the slots is reserved for more urgent work.
  size_t UsedSlots = 0;
  for (size_t Class = index(Candidate.Request.Class); Class < ServiceClassCount;
       ++Class)
    UsedSlots += m_SequencesAtTarget[Class];
  const double Share = m_Settings.Classes[index(Candidate.Request.Class)].Share;
  const auto AllowedSlots =
      std::max<size_t>(1, static_cast<size_t>(Share * sequenceSlots()));
  if (UsedSlots >= AllowedSlots)
    return false;
  return m_PrefillAtTarget == 0 ||
         Candidate.Request.Class == ServiceClass::Immediate ||
         m_PrefillAtTarget + Candidate.PrefillTokens <=
             m_Settings.MaximumPrefillAtTarget;
}

void Admission::sendToTarget(Entry &Next, BootTime Now, Actions &Out) {
  Next.At = Stage::Prefill;
  ++m_SequencesAtTarget[index(Next.Request.Class)];
  ++m_AtTarget;
  m_PrefillAtTarget += Next.PrefillTokens;
  m_Speed.setPromptsWaiting(true, Now);
  Out.push_back(Admit{Next.Request.Id});
}

void Admission::admitQueued(BootTime Now, Actions &Out) {
  if (!m_Accepting)
    return;
  for (auto &Queue : m_Queues)
    while (!Queue.empty()) {
      Entry &Next = m_Requests.at(Queue.front());
      if (!fitsAtTarget(Next))
        break;
      Queue.pop_front();
      sendToTarget(Next, Now, Out);
    }
}

void Admission::refuseUnreachableDeadlines(BootTime Now, Actions &Out) {
  std::vector<std::string> Unreachable;
  for (const auto &Queue : m_Queues)
    for (const std::string &Id : Queue) {
      const Work &Request = m_Requests.at(Id).Request;
      if (Request.Deadline &&
          Now + expectedTotal(Request, 0) > *Request.Deadline)
        Unreachable.push_back(Id);
    }
  for (const std::string &Id : Unreachable) {
    remove(Id, Now);
    Out.push_back(Refuse{Id, ResultCode::DeadlineUnreachable, std::nullopt});
  }
}

std::optional<Refuse> Admission::refusalFor(const Work &Request,
                                            BootTime Now) const {
  if (!m_Accepting)
    return Refuse{Request.Id, m_NotAcceptingCode, RetryWithoutEstimate};
  if (m_Requests.contains(Request.Id))
    return Refuse{Request.Id, ResultCode::InvalidInput, std::nullopt};
  const size_t Class = index(Request.Class);
  const uint64_t Waiting = m_PrefillWaiting[Class];
  const uint64_t Bound = m_Settings.Classes[Class].MaximumQueuedTokens;
  const double Rate = m_Speed.prefillTokensPerSecond();
  if (Waiting > 0 && Waiting + expectedPrefill(Request) > Bound) {
    const Seconds QueueTime(Rate > 0 ? Waiting / Rate : 0.5);
    return Refuse{Request.Id, ResultCode::Overloaded,
                  boundedRetryAfter(QueueTime)};
  }
  if (!Request.Deadline)
    return std::nullopt;
  uint64_t PrefillAhead = 0;
  for (size_t MoreUrgent = 0; MoreUrgent <= Class; ++MoreUrgent)
    PrefillAhead += m_PrefillWaiting[MoreUrgent];
  const Seconds Expected = expectedTotal(Request, PrefillAhead);
  if (Expected * EstimateMargin <= *Request.Deadline - Now)
    return std::nullopt;
  // A later retry only saves the time that the backlog takes.
  std::optional<milliseconds> RetryAfter;
  if (Rate > 0 && PrefillAhead > 0)
    RetryAfter = boundedRetryAfter(Seconds(PrefillAhead / Rate));
  return Refuse{Request.Id, ResultCode::DeadlineUnreachable, RetryAfter};
}

std::chrono::nanoseconds Admission::expectedTotal(const Work &Request,
                                                  uint64_t PrefillAhead) const {
  Seconds Total(0);
  const double Prefill = PrefillAhead + expectedPrefill(Request);
  if (const double Rate = m_Speed.prefillTokensPerSecond(); Rate > 0)
    Total += Seconds(Prefill / Rate);
  // Each chunk of a prompt waits for a decode step of the running sequences.
  if (m_Decoding > 0)
    Total += m_Speed.decodeStep() * (Prefill / route::PrefillChunkTokens);
  if (Request.MaximumTokens > 1)
    Total += m_Speed.decodeStep() * (Request.MaximumTokens - 1);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Total);
}

void Admission::finishPrefill(Entry &Current, uint64_t ComputedTokens,
                              BootTime Now) {
  m_PrefillWaiting[index(Current.Request.Class)] -= Current.PrefillTokens;
  m_PrefillAtTarget -= Current.PrefillTokens;
  m_Speed.recordPrefill(ComputedTokens, Now);
  m_Speed.setPromptsWaiting(m_PrefillAtTarget > 0, Now);
}

void Admission::remove(const std::string &Id, BootTime Now) {
  const auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end())
    return;
  Entry &Current = Found->second;
  const size_t Class = index(Current.Request.Class);
  m_DecodeWaiting -= Current.Request.MaximumTokens - Current.Produced;
  if (Current.At == Stage::Queued) {
    m_PrefillWaiting[Class] -= Current.PrefillTokens;
    std::erase(m_Queues[Class], Id);
  } else {
    if (Current.At == Stage::Decode)
      --m_Decoding;
    if (Current.At == Stage::Prefill) {
      // A call of a plain service ends without a FirstToken event; it counts
      // as one token.
      finishPrefill(Current, Current.Request.MaximumTokens == 0 ? 1 : 0, Now);
    }
    --m_SequencesAtTarget[Class];
    --m_AtTarget;
  }
  m_Requests.erase(Found);
}

route::TargetLoad Admission::load(BootTime) const {
  route::TargetLoad Load;
  Load.PrefillTokensWaiting = m_PrefillWaiting;
  Load.DecodeTokensWaiting = m_DecodeWaiting;
  Load.RunningSequences = static_cast<uint32_t>(m_AtTarget);
  Load.WaitingRequests = static_cast<uint32_t>(queued());
  Load.MaximumSequences = sequenceSlots();
  Load.PrefillTokensPerSecond = m_Speed.prefillTokensPerSecond();
  if (const auto Time = m_Speed.decodeStep(); Time.count() > 0)
    Load.DecodeTokensPerSecond = sequenceSlots() / Time.count();
  return Load;
}

} // namespace figlift::admission
