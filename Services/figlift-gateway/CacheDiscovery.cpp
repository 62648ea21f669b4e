//===- CacheDiscovery.cpp - Asks engines what they keep -------------------===//
//
// See CacheDiscovery.h.
//
//===----------------------------------------------------------------------===//

#include "CacheDiscovery.h"

#include "EngineCall.h"

#include "LibLog/Log.h"
#include "platform/EngineCalls.h"

namespace figlift::gateway {

namespace {

/// A list delays the engine's work a little, so gateways that start together
/// ask each engine at different moments within this time. A second made no
/// difference beyond noise to the value earned after a loss of all gateways;
/// the shorter time leaves fewer requests that are planned blindly.
constexpr std::chrono::milliseconds Spread{200};

} // namespace

void CacheDiscovery::engineCame(const dispatch::Target &Which, BootTime Now) {
  if (Which.EngineStage == dispatch::Stage::None)
    return;
  m_Open.push_back(
      {Which.Id, Now + std::chrono::duration_cast<BootClock::duration>(
                           Spread * m_Shared.draw())});
}

void CacheDiscovery::tick(BootTime Now) {
  std::vector<Question> Later;
  for (const Question &Each : std::exchange(m_Open, {})) {
    if (Now < Each.Due)
      Later.push_back(Each);
    else
      ask(Each.TargetId);
  }
  m_Open.insert(m_Open.end(), Later.begin(), Later.end());
}

void CacheDiscovery::ask(const std::string &TargetId) {
  const dispatch::Target *Asked = m_Shared.Targets.find(TargetId);
  if (!Asked)
    return;
  const auto Listed = [&Shared = m_Shared, TargetId, Start = Asked->Started](
                          unsigned Status, const std::string &Body) {
    const dispatch::Target *Which = Shared.Targets.find(TargetId);
    if (!Which || Which->Started != Start)
      return;
    Shared.Loads.setCacheReported(TargetId);
    const auto Parts = slopes::decodeCacheList(Status == 200 ? Body : "");
    if (!Parts)
      return log::logEvent(log::Level::Warning, "cache-list-missing",
                           {{"target", TargetId},
                            {"status", Status},
                            {"message", Parts.error().Message}});
    for (const dispatch::PromptPart &Each : Parts.value())
      Shared.Loads.cache(TargetId).insert(Each);
    log::logEvent(log::Level::Info, "cache-listed",
                  {{"target", TargetId}, {"parts", Parts.value().size()}});
  };
  // An engine without a free connection is busy for this gateway already; what
  // it keeps will show by its work.
  callEngine(m_Shared, TargetId, "GET", slopes::CacheListTarget, "", Listed);
}

} // namespace figlift::gateway
