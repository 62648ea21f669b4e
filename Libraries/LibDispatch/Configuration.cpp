//===- Configuration.cpp - What operators want served ---------------------===//
//
// Route lookup. There may be ten thousand routes, and each request asks: each
// beginning of its path that ends with a slash is looked for by binary search.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/Configuration.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace figlift::dispatch {

namespace {

using Place = std::pair<std::string_view, std::string_view>;

Place placeOf(const Route &Which) { return {Which.Host, Which.Prefix}; }

} // namespace

const Route *Configuration::match(std::string_view Host,
                                  std::string_view Path) const {
  Host = Host.substr(0, Host.find(':'));
  // A path of slashes alone must not cost a search for each of them.
  Path = Path.substr(0, m_LongestPrefix);
  while (!Path.empty()) {
    Path = Path.substr(0, Path.rfind('/') + 1);
    const Place Wanted(Host, Path);
    const auto Found =
        std::lower_bound(m_ByPrefix.begin(), m_ByPrefix.end(), Wanted,
                         [this](uint32_t Index, const Place &Other) {
                           return placeOf(Routes[Index]) < Other;
                         });
    if (Found != m_ByPrefix.end() && placeOf(Routes[*Found]) == Wanted)
      return &Routes[*Found];
    if (!Path.empty())
      Path.remove_suffix(1);
  }
  return nullptr;
}

const Service *Configuration::service(std::string_view Name) const {
  for (const Service &Each : Services)
    if (Each.Name == Name)
      return &Each;
  return nullptr;
}

void Configuration::settle() {
  noteEventGaps();
  m_ByPrefix.resize(Routes.size());
  std::iota(m_ByPrefix.begin(), m_ByPrefix.end(), 0U);
  std::stable_sort(m_ByPrefix.begin(), m_ByPrefix.end(),
                   [this](uint32_t Left, uint32_t Right) {
                     return placeOf(Routes[Left]) < placeOf(Routes[Right]);
                   });
  m_LongestPrefix = 0;
  for (const Route &Each : Routes)
    m_LongestPrefix = std::max(m_LongestPrefix, Each.Prefix.size());
}

void Configuration::noteEventGaps() {
  for (Service &Each : Services) {
    std::optional<std::chrono::milliseconds> Shortest;
    for (const Route &Way : Routes)
      for (const WeightedService &To : Way.Services)
        if (To.Service == Each.Name && Way.EventGapTarget)
          Shortest = std::min(Shortest.value_or(*Way.EventGapTarget),
                              *Way.EventGapTarget);
    Each.ShortestEventGap = Shortest.value_or(DefaultEventGap);
  }
}

const std::string &pickService(const Route &Which, double Draw) {
  double Total = 0;
  for (const WeightedService &Each : Which.Services)
    Total += Each.Weight;
  double Left = Draw * Total;
  for (const WeightedService &Each : Which.Services) {
    Left -= Each.Weight;
    if (Left < 0)
      return Each.Service;
  }
  return Which.Services.back().Service;
}

} // namespace figlift::dispatch
