//===- Placement.h - Placement of models on engines -------------*- C++ -*-===//
//
// Loads the models of the record onto the engines in a rolling update: on each
// engine the new version is loaded beside the old one, and the old one is
// unloaded only after the new one is reported ready. A new version is loaded on
// a single engine first. A version that fails to load is rolled back wherever
// it is loaded, and is not loaded again until the record names another version.
// Loads are rate-limited to protect the weight store.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlan/Fleet.h"
#include "LibPlan/PlanTypes.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace figlift::plan {

struct PlacementSettings {
  /// Minimum time between the starts of two loads.
  std::chrono::milliseconds LoadInterval{2000};
  /// A version is rolled back after this number of failed loads.
  unsigned FailuresToRollBack = 2;
  /// Delay before a failed load is retried.
  std::chrono::milliseconds RetryDelay{10000};
};

class Placement {
public:
  explicit Placement(PlacementSettings Settings = {}) : m_Settings(Settings) {}

  /// Returns the next load or unload, if one can be issued now.
  std::optional<TargetOrder> plan(const Snapshot &View, const Fleet &Engines,
                                  BootTime Now);
  /// Whether a model of the record is not served by any engine.
  static bool hasUnservedModel(const Snapshot &View, const Fleet &Engines);

  void recordIssued(const TargetOrder &Order, BootTime Now);
  void recordEnded(const Change &EndedChange, const OrderEnded &Result,
                   BootTime Now);
  bool isRolledBack(const ModelVersion &Model) const {
    return m_RolledBack.contains(Model);
  }

private:
  using ModelSet = std::set<ModelVersion>;

  ModelSet desiredModels(const Snapshot &View, const Fleet &Engines);
  void recordPreviousVersions(const ModelSet &Models, const Fleet &Engines);
  std::optional<TargetOrder> planLoad(const Snapshot &View,
                                      const ModelSet &Models,
                                      const Fleet &Engines, BootTime Now) const;
  std::optional<TargetOrder> planUnload(const ModelSet &Models,
                                        const Fleet &Engines) const;
  bool canLoad(const ModelVersion &Model, const TargetState &Target,
               const Fleet &Engines) const;

  PlacementSettings m_Settings;
  BootTime m_NextLoad;
  std::map<ModelVersion, unsigned> m_Failures;
  /// The engine that was last ordered to load the version.
  std::map<ModelVersion, std::string> m_LastAttemptedTarget;
  std::set<ModelVersion> m_RolledBack;
  /// By model name: the version that was served before that of the record.
  std::map<std::string, std::string> m_Previous;
};

} // namespace figlift::plan
