//===- Placement.cpp - Placement of models on engines -----------*- C++ -*-===//
//
// Order of loads and unloads in a rolling update, and rollback.
//
//===----------------------------------------------------------------------===//

#include "LibPlan/Placement.h"

#include <algorithm>

namespace figlift::plan {

namespace {

bool holds(const TargetState &Target, const ModelVersion &Model) {
  return std::ranges::find(Target.Models, Model) != Target.Models.end();
}

bool holdsName(const TargetState &Target, const std::string &Name) {
  return std::ranges::find(Target.Models, Name, &ModelVersion::Name) !=
         Target.Models.end();
}

/// Whether any engine has reported \p Model as ready, including engines with
/// another change in progress.
bool isReadyOnAnyEngine(const Snapshot &View, const ModelVersion &Model) {
  return std::ranges::any_of(View.Targets, [&](const TargetState &Target) {
    return Target.Live && holds(Target, Model);
  });
}

ModelVersion baseOf(ModelVersion Model) {
  Model.Adapter.clear();
  return Model;
}

/// Whether the weight store granted no permit, which is not a failure of the
/// model.
bool isPermitDenied(ResultCode Code) {
  return Code == ResultCode::StoreUnavailable || Code == ResultCode::Overloaded;
}

/// Whether the engine tried to load the model and failed. With any other code
/// the order did not reach the engine: a restarted agent refuses orders for
/// some time, and two such refusals must not roll back a good version.
bool isModelFailure(ResultCode Code) {
  return Code == ResultCode::OrderRejectedByTarget ||
         Code == ResultCode::TargetFailed;
}

} // namespace

std::optional<TargetOrder> Placement::plan(const Snapshot &View,
                                           const Fleet &Engines, BootTime Now) {
  const ModelSet Models = desiredModels(View, Engines);
  // Unload first, to free the memory that the next load may need.
  if (auto Order = planUnload(Models, Engines))
    return Order;
  return planLoad(View, Models, Engines, Now);
}

bool Placement::hasUnservedModel(const Snapshot &View, const Fleet &Engines) {
  return std::ranges::any_of(View.Spec.Models, [&](const auto &Model) {
    return Engines.servingModel(Model.Name) == 0;
  });
}

Placement::ModelSet Placement::desiredModels(const Snapshot &View,
                                             const Fleet &Engines) {
  ModelSet FromRecord;
  for (const record::ModelReference &Model : View.Spec.Models) {
    FromRecord.insert({Model.Name, Model.Version, {}});
    for (const std::string &Adapter : Model.Adapters)
      FromRecord.insert({Model.Name, Model.Version, Adapter});
  }
  // Forget the failures of a version that the record no longer names, so that
  // it can be loaded again if the record names it later.
  std::erase_if(m_RolledBack, [&](const ModelVersion &Model) {
    return !FromRecord.contains(Model);
  });
  std::erase_if(m_Failures, [&](const auto &Entry) {
    return !FromRecord.contains(Entry.first);
  });
  std::erase_if(m_LastAttemptedTarget, [&](const auto &Entry) {
    return !FromRecord.contains(Entry.first);
  });
  recordPreviousVersions(FromRecord, Engines);
  ModelSet Models;
  for (const ModelVersion &Model : FromRecord) {
    if (!m_RolledBack.contains(baseOf(Model)) &&
        !m_RolledBack.contains(Model)) {
      Models.insert(Model);
      continue;
    }
    if (const auto Previous = m_Previous.find(Model.Name);
        Model.Adapter.empty() && Previous != m_Previous.end())
      Models.insert({Model.Name, Previous->second, {}});
  }
  return Models;
}

void Placement::recordPreviousVersions(const ModelSet &Models,
                                       const Fleet &Engines) {
  for (const TargetState *Target : Engines.serving())
    for (const ModelVersion &Model : Target->Models)
      if (Model.Adapter.empty() && !Models.contains(Model))
        m_Previous[Model.Name] = Model.Version;
}

std::optional<TargetOrder> Placement::planUnload(const ModelSet &Models,
                                                 const Fleet &Engines) const {
  for (const TargetState *Target : Engines.serving()) {
    if (!Engines.canSpare(*Target))
      continue;
    for (const ModelVersion &Old : Target->Models) {
      if (Models.contains(Old))
        continue;
      const auto Successor =
          std::ranges::find_if(Models, [&](const ModelVersion &Model) {
            return Model.Name == Old.Name && Model.Adapter.empty();
          });
      // A model that is no longer in the record is unloaded. An old version is
      // unloaded only where the new one is ready and other engines serve the
      // model.
      const bool Superseded = Successor != Models.end();
      if (Superseded && (!holds(*Target, *Successor) ||
                         Engines.servingModel(Old.Name, Target->Id) == 0))
        continue;
      return TargetOrder{Target->Id, UnloadModel{Old},
                         Superseded ? "its successor is ready here"
                                    : "no longer in the record"};
    }
  }
  return std::nullopt;
}

bool Placement::canLoad(const ModelVersion &Model, const TargetState &Target,
                        const Fleet &Engines) const {
  if (holds(Target, Model))
    return false;
  if (!Model.Adapter.empty() && !holds(Target, baseOf(Model)))
    return false;
  // If no engine serves the model, no capacity for it can be lost.
  if (!holdsName(Target, Model.Name) && Engines.servingModel(Model.Name) == 0)
    return true;
  return Engines.canSpare(Target);
}

std::optional<TargetOrder> Placement::planLoad(const Snapshot &View,
                                               const ModelSet &Models,
                                               const Fleet &Engines,
                                               BootTime Now) const {
  if (Now < m_NextLoad)
    return std::nullopt;
  for (const ModelVersion &Model : Models) {
    // Load a new version on a single engine first: a version that crashes its
    // engine must affect only one, not as many as can change concurrently.
    if (!isReadyOnAnyEngine(View, Model) && Engines.changesInProgress() > 0)
      continue;
    const TargetState *Best = nullptr;
    // Retry a failed load on the same engine: an engine chosen by load alone
    // may be another one, which then does not serve either.
    const auto LastAttempt = m_LastAttemptedTarget.find(Model);
    const bool IsRetry = m_Failures.contains(Model) &&
                         LastAttempt != m_LastAttemptedTarget.end();
    const auto Cost = [&](const TargetState &Target) {
      return std::tuple(IsRetry && LastAttempt->second != Target.Id,
                        holdsName(Target, Model.Name),
                        Target.Load.RunningSequences, Target.Id);
    };
    for (const TargetState *Target : Engines.serving())
      if (canLoad(Model, *Target, Engines) &&
          (!Best || Cost(*Target) < Cost(*Best)))
        Best = Target;
    if (Best)
      return TargetOrder{Best->Id, LoadModel{Model},
                         "wanted here: " + Model.toString()};
  }
  return std::nullopt;
}

void Placement::recordIssued(const TargetOrder &Order, BootTime Now) {
  const auto *Load = std::get_if<LoadModel>(&Order.RequestedChange);
  if (!Load)
    return;
  m_NextLoad = Now + m_Settings.LoadInterval;
  m_LastAttemptedTarget[Load->Model] = Order.Target;
}

void Placement::recordEnded(const Change &EndedChange, const OrderEnded &Result,
                            BootTime Now) {
  const auto *Load = std::get_if<LoadModel>(&EndedChange);
  if (!Load)
    return;
  if (Result.Code == ResultCode::Success) {
    m_Failures.erase(Load->Model);
    return;
  }
  const bool Failed = isModelFailure(Result.Code);
  const auto Delay = Result.RetryAfter.value_or(
      Failed || isPermitDenied(Result.Code) ? m_Settings.RetryDelay
                                            : m_Settings.LoadInterval);
  m_NextLoad = std::max(m_NextLoad, Now + Delay);
  if (!Failed)
    return;
  // A rollback requires a previous version. Without one, the load is
  // retried with RetryDelay.
  if (++m_Failures[Load->Model] >= m_Settings.FailuresToRollBack &&
      m_Previous.contains(Load->Model.Name))
    m_RolledBack.insert(Load->Model);
}

} // namespace figlift::plan
