//===- CallHeldAnswer.cpp - Answers held from earlier calls ---------------===//
//
// A caller whose entry fails in mid-stream retries through another entry with
// the same idempotency key. The agent that runs the completion still holds the
// answer; without a lookup it would be computed a second time while the first
// run continues without a receiver.
//
// Entries do not share which targets they used. Completions with a key are
// therefore sent to one of the first targets in the rendezvous order of the
// key, and any entry that receives the key again asks only these.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Call.h"

#include "LibRoute/Subset.h"
#include "LibStream/ResumeName.h"

#include <algorithm>

namespace figlift::entry {

namespace {

/// Number of targets among which a completion with a key is balanced. Two allow
/// a busy target to be avoided. The number is small because each of them is
/// asked for a held answer when the caller retries.
constexpr size_t PreferredTargets = 2;

using Ranking = std::vector<const route::TargetView *>;

Ranking rank(std::span<const route::TargetView> Targets,
             const std::string &ResumeKey) {
  Ranking Ranked;
  for (const route::TargetView &Target : Targets)
    Ranked.push_back(&Target);
  const uint64_t Key = route::rendezvousKey(ResumeKey);
  std::ranges::sort(Ranked, std::ranges::greater{},
                    [Key](const route::TargetView *Target) {
                      return route::rendezvousWeight(Key, Target->Id);
                    });
  return Ranked;
}

} // namespace

std::vector<std::string>
Call::nonPreferredTargets(const ServingState &Now,
                          const route::RequestShape &Shape) const {
  std::vector<std::string> NonPreferred;
  if (m_Request.ResumeKey.empty() || m_History.Attempts > 1)
    return NonPreferred;
  size_t Preferred = 0;
  for (const route::TargetView *Target :
       rank(Now.Table.targets(m_Request.BackEnd), m_Request.ResumeKey))
    if (!Target->Accepting || !Target->serves(Shape.Model) ||
        ++Preferred > PreferredTargets)
      NonPreferred.push_back(Target->Id);
  return NonPreferred;
}

void Call::findHolders() {
  m_Context.State.read([&](const ServingState &Now) {
    size_t Accepting = 0;
    for (const route::TargetView *Target :
         rank(Now.Table.targets(m_Request.BackEnd), m_Request.ResumeKey)) {
      // Targets that accept no work now are asked too: a draining target may
      // have accepted the earlier call.
      if (Target->Accepting && ++Accepting > PreferredTargets)
        break;
      if (const auto Link = Now.Links.find(Target->Id); Link != Now.Links.end())
        m_Holders.push_back(Link->second);
    }
    return 0;
  });
  std::ranges::reverse(m_Holders);
}

void Call::queryNextHolder() {
  m_IsQueryingHolder = !m_Holders.empty();
  if (!m_IsQueryingHolder) {
    m_HeldRequestId = m_Request.RequestId;
    m_LastLink = nullptr;
    m_LastMessage.clear();
    return startAttempt();
  }
  m_HeldRequestId = stream::resumeNameOf(m_Request.ResumeKey);
  std::shared_ptr<TargetLink> Next = std::move(m_Holders.back());
  m_Holders.pop_back();
  resume(std::move(Next));
}

void Call::takeOver(const Attempt &Source) {
  if (!std::exchange(m_IsQueryingHolder, false))
    return;
  m_TakenOver = true;
  m_Context.Metrics.TakenOver.add();
  m_Context.State.read([&](const ServingState &Now) {
    if (const auto *Target = Now.Table.find(Source.link()->target().Id))
      pinModel(*Target);
    return 0;
  });
}

} // namespace figlift::entry
