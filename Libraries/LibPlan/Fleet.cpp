//===- Fleet.cpp - Trusted view of a shard's engines ------------*- C++ -*-===//
//
// Trust in reports, orders under way and the minimums of each kind of work.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/Fleet.h"

#include <algorithm>

namespace figlift::plan {

void OrdersUnderWay::given(const GiveOrder &Order, BootTime Now) {
  m_Orders[Order.Target] = {Order.What, Now};
}

std::optional<Change> OrdersUnderWay::ended(const std::string &Target,
                                            BootTime Now) {
  const auto Found = m_Orders.find(Target);
  if (Found == m_Orders.end())
    return std::nullopt;
  const Order Done = Found->second;
  m_Orders.erase(Found);
  m_EndedAt[Target] = Now;
  if (std::holds_alternative<SetRole>(Done.What))
    m_RoleChange = (m_RoleChange * 3 +
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        Now - Done.GivenAt)) /
                   4;
  return Done.What;
}

void OrdersUnderWay::expire(const Snapshot &Seen, const FleetSettings &Settings,
                            BootTime Now) {
  std::erase_if(m_Orders, [&](const auto &Entry) {
    const auto Found =
        std::ranges::find(Seen.Targets, Entry.first, &TargetState::Id);
    const bool Gone = Found == Seen.Targets.end() || !Found->Live;
    return Gone || Now - Entry.second.GivenAt > Settings.OrderTimeout;
  });
  std::erase_if(m_EndedAt, [&](const auto &Entry) {
    return Now - Entry.second > Settings.OrderTimeout;
  });
}

const Change *OrdersUnderWay::find(const std::string &Target) const {
  const auto Found = m_Orders.find(Target);
  return Found == m_Orders.end() ? nullptr : &Found->second.What;
}

bool OrdersUnderWay::reportedSince(const TargetState &Target) const {
  const auto Found = m_EndedAt.find(Target.Id);
  return Found == m_EndedAt.end() || Target.ReportedAt > Found->second;
}

Fleet::Fleet(const Snapshot &Seen, const OrdersUnderWay &Orders,
             const FleetSettings &Settings, BootTime Now)
    : m_Seen(Seen) {
  for (const TargetState &Target : Seen.Targets) {
    if (!Target.Live)
      continue;
    const Change *Pending = Orders.find(Target.Id);
    if (Pending || Target.OrderInProgress) {
      const auto *NewRole = Pending ? std::get_if<SetRole>(Pending) : nullptr;
      ++m_Returning.count(NewRole ? NewRole->NewRole : Target.CurrentRole);
      ++m_Changing;
      continue;
    }
    if (!Orders.reportedSince(Target)) {
      // It has come back, and its report is about to; counted as under change
      // so that the bound on concurrent changes holds meanwhile.
      ++m_Returning.count(Target.CurrentRole);
      ++m_Changing;
      continue;
    }
    if (Target.Accepting &&
        Now - Target.ReportedAt <= Settings.MaximumReportAge)
      m_Serving.push_back(&Target);
  }
}

Split Fleet::split() const {
  Split Result;
  for (const TargetState *Target : m_Serving)
    ++Result.count(Target->CurrentRole);
  return Result;
}

unsigned Fleet::servingModel(const std::string &Model,
                             const std::string &Without) const {
  return std::ranges::count_if(m_Serving, [&](const TargetState *Target) {
    return Target->Id != Without &&
           std::ranges::find(Target->Models, Model, &ModelVersion::Name) !=
               Target->Models.end();
  });
}

bool Fleet::keepsMinimums(const Split &Later) const {
  const record::RoleSplit &Minimum = m_Seen.Spec.Roles;
  const Split Now = split();
  const auto Holds = [](unsigned Then, unsigned Before, unsigned Wanted) {
    return Then >= Wanted || Then >= Before;
  };
  const unsigned CanPrefill = Later.Prefill + Later.Mixed;
  const unsigned CanDecode = Later.Decode + Later.Mixed;
  return Holds(CanPrefill, Now.Prefill + Now.Mixed,
               std::max(1u, Minimum.Prefill)) &&
         Holds(CanDecode, Now.Decode + Now.Mixed,
               std::max(1u, Minimum.Decode)) &&
         Holds(Later.Mixed, Now.Mixed, Minimum.Mixed);
}

bool Fleet::maySpare(const TargetState &Target) const {
  Split Meanwhile = split();
  --Meanwhile.count(Target.CurrentRole);
  return keepsMinimums(Meanwhile);
}

bool Fleet::mayBecome(const TargetState &Target, Role NewRole) const {
  Split Later = split();
  --Later.count(Target.CurrentRole);
  ++Later.count(NewRole);
  return maySpare(Target) && keepsMinimums(Later);
}

} // namespace figlift::plan
