//===- CallChoice.cpp - Where the next attempt of a call goes -------------===//
//
// The home of a keyed call; for others a target that wants a probe, or the one
// that LibRoute finds best.
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
  // An answer that has begun can't be refused any more, however late its end is
  // expected: a refusal here would only be repeated until its deadline.
  if (Delivered == 0)
    Shape.TimeLeft = timeLeft();
  const auto *Work = std::get_if<CompletionWork>(&m_Request.Work);
  if (!Work) {
    Shape.PromptTokens = 1;
    return Shape;
  }
  Shape.Model = m_PinnedModel.empty() ? Work->Model : m_PinnedModel;
  // What the caller has is read again and not made again.
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

Result<Call::Destination> Call::choose() {
  if (m_History.TokensDelivered == 0)
    m_PinnedModel.clear();
  return m_Context.State.read([&](const ServingState &Now) {
    return m_Request.keyed() ? chooseHome(Now) : chooseTarget(Now);
  });
}

Result<Call::Destination> Call::chooseTarget(const ServingState &Now) {
  const route::RequestShape Shape = shape();
  std::vector<std::string> Others = withoutPreferred(Now, Shape);
  if (auto Probe = chooseProbe(Now, Others))
    return destination(Now, *Probe);
  const std::vector<std::string> Excluded = excludedTargets();
  const uint64_t Seed = routingSeed();
  std::vector<route::CandidateScore> Account;
  auto Choose = [&](std::span<const std::string> Without) {
    return route::chooseTarget(
        m_Context.Routing, Now.Table, Shape, Without, Seed,
        log::isOn(log::Level::Debug) ? &Account : nullptr);
  };
  if (!Others.empty()) {
    Others.insert(Others.end(), Excluded.begin(), Excluded.end());
    if (auto Preferred = Choose(Others)) {
      logChosen(*Preferred.value().Target, Account, Others);
      return destination(Now, Preferred.value());
    }
  }
  auto Chosen = Choose(Excluded);
  // A target that failed is better than none: with a single target left, its
  // agent may be back by now.
  if (!Chosen && Chosen.error().Code == ResultCode::NoTargetAvailable &&
      !Excluded.empty())
    Chosen = Choose({});
  if (!Chosen)
    return outcome::failure(Chosen.error());
  logChosen(*Chosen.value().Target, Account, Excluded);
  return destination(Now, Chosen.value());
}

std::vector<std::string> Call::excludedTargets() {
  std::vector<std::string> Excluded = m_Context.Health.ejectedTargets();
  const BootTime Now = BootClock::now();
  if (!m_Request.Repeatable)
    std::erase_if(Excluded, [&](const std::string &Each) {
      const auto Health = m_Context.Health.health(Each);
      return Health->isProbeOverdue(Now) && Health->allows(Now);
    });
  Excluded.insert(Excluded.end(), m_Excluded.begin(), m_Excluded.end());
  return Excluded;
}

uint64_t Call::routingSeed() const {
  return XXH64(m_Request.RequestId.data(), m_Request.RequestId.size(),
               m_History.Attempts);
}

/// A target whose exclusion has passed gets one attempt, whatever it costs:
/// left to the weighing, the attempt that may be the probe goes to a target
/// that is measured better, and nobody finds out that the other one is back. A
/// first attempt of work that may be repeated, as a probe may fail.
std::optional<route::Choice>
Call::chooseProbe(const ServingState &Now,
                  const std::vector<std::string> &NotPreferred) {
  if (!m_Request.Repeatable || m_History.Attempts > 1)
    return std::nullopt;
  for (const std::string &Target :
       m_Context.Health.targetsDueForProbe(BootClock::now())) {
    if (std::ranges::find(NotPreferred, Target) != NotPreferred.end())
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

/// All that the choice weighed, and what was left out of it.
void Call::logChosen(const route::TargetView &Target,
                     const std::vector<route::CandidateScore> &Account,
                     const std::vector<std::string> &Excluded) const {
  if (!log::isOn(log::Level::Debug))
    return;
  std::string Weighed;
  for (const route::CandidateScore &Each : Account)
    Weighed += fmt::format(
        "{}{}: cost {} us (wait {}, total {}), {} sequences, {:.0f} prompt and "
        "{:.0f} decode tokens/s{}",
        Weighed.empty() ? "" : "; ", Each.Target, Each.Cost.count(),
        Each.Wait.count(), Each.Total.count(), Each.Sequences,
        Each.PrefillTokensPerSecond, Each.DecodeTokensPerSecond,
        Each.Acceptable ? "" : ", not acceptable");
  log::logRequest(log::Level::Debug, "target-chosen", m_Request.RequestId, {},
                  {{"target", Target.Id},
                   {"attempt", m_History.Attempts},
                   {"weighed", Weighed},
                   {"excluded", fmt::format("{}", fmt::join(Excluded, " "))}});
}

Result<Call::Destination> Call::destination(const ServingState &Now,
                                            const route::Choice &Best) {
  const auto Link = Now.Links.find(Best.Target->Id);
  if (Link == Now.Links.end())
    return failure(ResultCode::NoTargetAvailable,
                   "the chosen target was disconnected");
  const route::RequestShape Shape = shape();
  pinModel(*Best.Target);
  return Destination{Link->second, Best.startTracking(Shape),
                     Best.ExpectedCachedTokens, 0};
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
  Destination To;
  To.Link = Link->second;
  To.SliceEpoch = Home.Epoch;
  return To;
}

} // namespace figlift::entry
