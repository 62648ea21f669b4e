//===- CallRouting.cpp - Target selection for the attempts of a call ------===//
//
// Keyed calls go to the home of their key. Other calls go to an ejected target
// that is due for a probe, or to the best target according to LibRoute.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/Call.h"

#include "LibLog/Log.h"
#include "LibRoute/ChooseTarget.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>
#include <xxhash.h>

#include <algorithm>

namespace figlift::entry {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds HomeRetryAfter{1000};

} // namespace

route::RequestShape Call::shape() const {
  route::RequestShape Shape;
  Shape.BackEnd = m_Request.BackEnd;
  Shape.Workspace = m_Request.Workspace;
  Shape.Class = m_Request.Class;
  const uint32_t Delivered = m_History.TokensDelivered;
  // An answer that has started is no longer refused because it is expected to
  // miss its deadline: the refusal would only be retried until the deadline.
  if (Delivered == 0)
    Shape.TimeLeft = timeLeft();
  const auto *Work = std::get_if<CompletionWork>(&m_Request.Work);
  if (!Work) {
    Shape.PromptTokens = 1;
    return Shape;
  }
  Shape.Model = m_PinnedModel.empty() ? Work->Model : m_PinnedModel;
  // Delivered tokens become part of the prompt: they are prefilled instead of
  // decoded again.
  Shape.PromptTokens = Work->promptTokens() + Delivered;
  Shape.MaximumTokens =
      Work->MaximumTokens - std::min(Delivered, Work->MaximumTokens);
  Shape.PrefixHashes = m_PrefixHashes;
  return Shape;
}

void Call::pinModel(const route::TargetView &Target) {
  const auto *Work = std::get_if<CompletionWork>(&m_Request.Work);
  if (!Work || !m_PinnedModel.empty() ||
      Work->Model.find('@') != std::string::npos)
    return;
  const std::string Prefix = Work->Model + "@";
  for (const std::string &Model : Target.Models)
    if (Model.starts_with(Prefix)) {
      m_PinnedModel = Model;
      return;
    }
}

Result<Call::Destination> Call::chooseDestination() {
  if (m_History.TokensDelivered == 0)
    m_PinnedModel.clear();
  return m_Context.State.read([&](const ServingState &Now) {
    return m_Request.keyed() ? chooseHome(Now) : chooseTarget(Now);
  });
}

Result<Call::Destination> Call::chooseTarget(const ServingState &Now) {
  const route::RequestShape Shape = shape();
  std::vector<std::string> NonPreferred = nonPreferredTargets(Now, Shape);
  if (auto Probe = chooseProbe(Now, NonPreferred))
    return makeDestination(Now, *Probe);
  const std::vector<std::string> Excluded = excludedTargets();
  const uint64_t Seed = routingSeed();
  std::vector<route::CandidateScore> Candidates;
  auto Choose = [&](std::span<const std::string> ExcludedIds) {
    return route::chooseTarget(
        m_Context.Routing, Now.Table, Shape, ExcludedIds, Seed,
        log::isEnabled(log::Level::Debug) ? &Candidates : nullptr);
  };
  if (!NonPreferred.empty()) {
    NonPreferred.insert(NonPreferred.end(), Excluded.begin(), Excluded.end());
    if (auto Preferred = Choose(NonPreferred)) {
      logChosenTarget(*Preferred.value().Target, Candidates, NonPreferred);
      return makeDestination(Now, Preferred.value());
    }
  }
  auto Chosen = Choose(Excluded);
  // An excluded target is better than none: the agent of the only remaining
  // target may have recovered by now.
  if (!Chosen && Chosen.error().Code == ResultCode::NoTargetAvailable &&
      !Excluded.empty())
    Chosen = Choose({});
  if (!Chosen)
    return outcome::failure(Chosen.error());
  logChosenTarget(*Chosen.value().Target, Candidates, Excluded);
  return makeDestination(Now, Chosen.value());
}

std::vector<std::string> Call::excludedTargets() {
  std::vector<std::string> Excluded = m_Context.Health.ejectedTargets();
  const BootTime Now = BootClock::now();
  if (!m_Request.Repeatable)
    std::erase_if(Excluded, [&](const std::string &Target) {
      const auto Health = m_Context.Health.health(Target);
      return Health->isProbeOverdue(Now) && Health->allows(Now);
    });
  Excluded.insert(Excluded.end(), m_FailedTargets.begin(),
                  m_FailedTargets.end());
  return Excluded;
}

uint64_t Call::routingSeed() const {
  return XXH64(m_Request.RequestId.data(), m_Request.RequestId.size(),
               m_History.Attempts);
}

/// Selects an ejected target that is due for a probe, regardless of its cost: a
/// choice by cost would keep preferring targets with better measurements, and
/// the recovery would never be detected. Only the first attempt of repeatable
/// work is used, because a probe may fail.
std::optional<route::Choice>
Call::chooseProbe(const ServingState &Now,
                  const std::vector<std::string> &NonPreferred) {
  if (!m_Request.Repeatable || m_History.Attempts > 1)
    return std::nullopt;
  for (const std::string &Target :
       m_Context.Health.targetsDueForProbe(BootClock::now())) {
    if (std::ranges::find(NonPreferred, Target) != NonPreferred.end())
      continue;
    route::RequestShape Shape = shape();
    Shape.OnlyTarget = Target;
    const auto Chosen = route::chooseTarget(m_Context.Routing, Now.Table, Shape,
                                            {}, routingSeed());
    if (Chosen && Now.Links.contains(Target) &&
        m_Context.Health.health(Target)->allows(BootClock::now()))
      return Chosen.value();
  }
  return std::nullopt;
}

/// Logs the cost of every candidate and the excluded targets at debug level.
void Call::logChosenTarget(const route::TargetView &Target,
                           const std::vector<route::CandidateScore> &Candidates,
                           const std::vector<std::string> &Excluded) const {
  if (!log::isEnabled(log::Level::Debug))
    return;
  std::string Costs;
  for (const route::CandidateScore &Candidate : Candidates)
    Costs += fmt::format(
        "{}{}: cost {} us (wait {}, total {}), {} sequences, {:.0f} prompt and "
        "{:.0f} decode tokens/s{}",
        Costs.empty() ? "" : "; ", Candidate.Target, Candidate.Cost.count(),
        Candidate.Wait.count(), Candidate.Total.count(), Candidate.Sequences,
        Candidate.PrefillTokensPerSecond, Candidate.DecodeTokensPerSecond,
        Candidate.Acceptable ? "" : ", not acceptable");
  log::logRequest(log::Level::Debug, "target-chosen", m_Request.RequestId, {},
                  {{"target", Target.Id},
                   {"attempt", m_History.Attempts},
                   {"weighed", Costs},
                   {"excluded", fmt::format("{}", fmt::join(Excluded, " "))}});
}

Result<Call::Destination> Call::makeDestination(const ServingState &Now,
                                                const route::Choice &Chosen) {
  const auto Link = Now.Links.find(Chosen.Target->Id);
  if (Link == Now.Links.end())
    return failure(ResultCode::NoTargetAvailable,
                   "the chosen target was disconnected");
  const route::RequestShape Shape = shape();
  pinModel(*Chosen.Target);
  return Destination{Link->second, Chosen.startTracking(Shape),
                     Chosen.ExpectedCachedTokens, 0};
}

Result<Call::Destination> Call::chooseHome(const ServingState &Now) {
  const auto Homes = Now.Homes.find(m_Request.BackEnd);
  const idempotency::Grant Home =
      Homes == Now.Homes.end()
          ? idempotency::Grant{}
          : Homes->second.homeOf(std::string_view(m_Request.IdempotencyKey));
  const auto Link = Now.Links.find(Home.Home);
  if (Home.Home.empty() || Link == Now.Links.end()) {
    m_Context.OnHomeMoved(m_Request.BackEnd);
    return outcome::failure(
        Error{ResultCode::HomeUnreachable,
              Home.Home.empty()
                  ? "no home of this idempotency key is known yet"
                  : "the home of this idempotency key cannot be reached",
              "Idempotency-Key", HomeRetryAfter});
  }
  Destination HomeTarget;
  HomeTarget.Link = Link->second;
  HomeTarget.SliceEpoch = Home.Epoch;
  return HomeTarget;
}

} // namespace figlift::entry
