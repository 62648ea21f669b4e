//===- Configuration.cpp - Routes and services of the gateway -------------===//
//
// Route lookup. There may be ten thousand routes and each request needs one, so
// each prefix of its path that ends with a slash is found by binary search.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/Configuration.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <unordered_map>
#include <utility>

namespace figlift::dispatch {

namespace {

using RouteKey = std::pair<std::string_view, std::string_view>;

RouteKey keyOf(const Route &Entry) { return {Entry.Host, Entry.Prefix}; }

} // namespace

const Route *Configuration::match(std::string_view Host,
                                  std::string_view Path) const {
  Host = Host.substr(0, Host.find(':'));
  // Bounds the number of searches for a path that consists of slashes.
  Path = Path.substr(0, m_LongestPrefix);
  while (!Path.empty()) {
    Path = Path.substr(0, Path.rfind('/') + 1);
    const RouteKey Key(Host, Path);
    const auto Position =
        std::lower_bound(m_ByPrefix.begin(), m_ByPrefix.end(), Key,
                         [this](uint32_t Index, const RouteKey &Other) {
                           return keyOf(Routes[Index]) < Other;
                         });
    if (Position != m_ByPrefix.end() && keyOf(Routes[*Position]) == Key)
      return &Routes[*Position];
    if (!Path.empty())
      Path.remove_suffix(1);
  }
  return nullptr;
}

const Service *Configuration::service(std::string_view Name) const {
  for (const Service &Candidate : Services)
    if (Candidate.Name == Name)
      return &Candidate;
  return nullptr;
}

void Configuration::finalize() {
  updateEventGaps();
  updatePromptRoutes();
  m_ByPrefix.resize(Routes.size());
  std::iota(m_ByPrefix.begin(), m_ByPrefix.end(), 0U);
  std::stable_sort(m_ByPrefix.begin(), m_ByPrefix.end(),
                   [this](uint32_t Left, uint32_t Right) {
                     return keyOf(Routes[Left]) < keyOf(Routes[Right]);
                   });
  m_LongestPrefix = 0;
  for (const Route &Entry : Routes)
    m_LongestPrefix = std::max(m_LongestPrefix, Entry.Prefix.size());
}

void Configuration::updateEventGaps() {
  for (Service &Candidate : Services) {
    std::optional<std::chrono::milliseconds> Shortest;
    for (const Route &Entry : Routes)
      for (const WeightedService &Weighted : Entry.Services)
        if (Weighted.Service == Candidate.Name && Entry.EventGapTarget)
          Shortest = std::min(Shortest.value_or(*Entry.EventGapTarget),
                              *Entry.EventGapTarget);
    Candidate.ShortestEventGap = Shortest.value_or(DefaultEventGap);
  }
}

void Configuration::updatePromptRoutes() {
  std::set<unsigned> OfTenants;
  bool RoutesDecideForTenants = true;
  if (Tenants) {
    RoutesDecideForTenants = false;
    for (const tenant::Tenant &Holder : Tenants->tenants())
      if (Holder.Priority)
        OfTenants.insert(*Holder.Priority);
      else
        RoutesDecideForTenants = true;
  }
  std::unordered_map<std::string_view, std::set<unsigned>> Priorities;
  std::unordered_map<std::string_view, std::vector<uint32_t>> Streams;
  for (uint32_t Index = 0; Index < Routes.size(); ++Index) {
    const Route &Entry = Routes[Index];
    if (!Entry.CarriesPrompts)
      continue;
    for (const WeightedService &Weighted : Entry.Services) {
      std::set<unsigned> &OfService = Priorities[Weighted.Service];
      if (Entry.Access == tenant::Access::Public || RoutesDecideForTenants)
        OfService.insert(Entry.Priority);
      if (Entry.Access == tenant::Access::Tenants)
        OfService.insert(OfTenants.begin(), OfTenants.end());
      if (Entry.Kind == RouteKind::Streaming)
        Streams[Weighted.Service].push_back(Index);
    }
  }
  for (Service &Candidate : Services) {
    const std::set<unsigned> &OfService = Priorities[Candidate.Name];
    Candidate.PromptPriorities.assign(OfService.begin(), OfService.end());
    Candidate.PromptStreams = std::move(Streams[Candidate.Name]);
  }
}

std::map<std::string, std::chrono::milliseconds>
takeUpTimes(const Configuration &InForce) {
  std::map<std::string, std::chrono::milliseconds> Longest;
  for (const Route &Entry : InForce.Routes) {
    if (Entry.Kind != RouteKind::Streaming || !Entry.Resumable)
      continue;
    for (const WeightedService &Weighted : Entry.Services) {
      auto &Time = Longest[Weighted.Service];
      Time = std::max(Time, Entry.Timeout);
    }
  }
  return Longest;
}

const std::string &pickService(const Route &Entry, double Draw) {
  double Total = 0;
  for (const WeightedService &Weighted : Entry.Services)
    Total += Weighted.Weight;
  double Left = Draw * Total;
  for (const WeightedService &Weighted : Entry.Services) {
    Left -= Weighted.Weight;
    if (Left < 0)
      return Weighted.Service;
  }
  return Entry.Services.back().Service;
}

} // namespace figlift::dispatch
