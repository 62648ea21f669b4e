//===- RoutingSimulation.h - Small deterministic queue model ----*- C++ -*-===//
//
// Models engines as single prefill queues with a prefix cache of a few blocks,
// one entry, and reports that arrive with a delay. This is enough to show
// herding and cache misses of a policy; it is not a cluster simulator.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibRoute/ChooseTarget.h"
#include "LibRoute/Subset.h"

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace figlift::route::test {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

struct SimulationSettings {
  unsigned Targets = 8;
  double PrefillRate = 8000;
  milliseconds ReportLag{200};
  /// Time between two requests.
  milliseconds ArrivalInterval{20};
  unsigned Requests = 2000;
  uint32_t PromptTokens = 1024;
  /// Number of distinct prefixes that prompts share; 0 if they share none.
  unsigned SharedPrefixes = 0;
  size_t CachedPrefixesPerTarget = 4;
};

struct SimulationResult {
  Seconds MeanWait{0};
  Seconds WorstWait{0};
  double CachedFraction = 0;
};

class RoutingSimulation {
public:
  RoutingSimulation(Policy Routing, SimulationSettings Settings)
      : m_Policy(std::move(Routing)), m_Settings(Settings),
        m_Engines(Settings.Targets) {}

  SimulationResult run() {
    SimulationResult Result;
    rebuild();
    Seconds Now{0}, NextReport = m_Settings.ReportLag;
    for (unsigned I = 0; I < m_Settings.Requests; ++I) {
      Now += m_Settings.ArrivalInterval;
      for (Engine &Model : m_Engines)
        Model.Queue = std::max(
            Seconds(0), Model.Queue - Seconds(m_Settings.ArrivalInterval));
      if (Now >= NextReport) {
        rebuild();
        NextReport += m_Settings.ReportLag;
      }
      serve(I, Result);
    }
    Result.MeanWait /= m_Settings.Requests;
    Result.CachedFraction /= m_Settings.Requests;
    return Result;
  }

private:
  struct Engine {
    Seconds Queue{0};
    /// Least recently used first.
    std::deque<uint64_t> Cache;
  };

  static std::string name(size_t Index) {
    return "vm-" + std::to_string(Index);
  }

  /// Delivers a report of every engine that includes all work sent so far, and
  /// rebuilds the routing table.
  void rebuild() {
    m_Tickets.clear();
    std::vector<TargetView> Views;
    for (size_t I = 0; I < m_Engines.size(); ++I) {
      TargetLoad Load;
      Load.PrefillTokensPerSecond = m_Settings.PrefillRate;
      Load.DecodeTokensPerSecond = 1000;
      Load.MaximumSequences = 64;
      Load.PrefillTokensWaiting[1] = static_cast<uint64_t>(
          m_Engines[I].Queue.count() * m_Settings.PrefillRate);
      m_Tracker.gauge(name(I))->report(Load, BootTime(m_Settings.ReportLag));
      TargetView View;
      View.Id = name(I);
      View.BackEnd = "lm-desk";
      View.Accepting = true;
      const std::vector<uint64_t> Cached(m_Engines[I].Cache.begin(),
                                         m_Engines[I].Cache.end());
      View.Prefixes = PrefixSummary(Cached);
      Views.push_back(std::move(View));
    }
    m_Table = RoutingTable(std::move(Views), m_Tracker);
  }

  void serve(unsigned Number, SimulationResult &Result) {
    RequestShape Request;
    Request.BackEnd = "lm-desk";
    Request.PromptTokens = m_Settings.PromptTokens;
    if (m_Settings.SharedPrefixes > 0)
      // The prefixes arrive in an order that round robin cannot match. Each has
      // three of the four blocks of a prompt.
      for (uint64_t Block = 0; Block < 3; ++Block)
        Request.PrefixHashes.push_back(rendezvousWeight(Number, "prompt") %
                                           m_Settings.SharedPrefixes * 10 +
                                       Block + 1);
    const auto Chosen = chooseTarget(m_Policy, m_Table, Request, {}, Number);
    if (!Chosen)
      return;
    const Choice &Best = Chosen.value();
    m_Tickets.push_back(Best.startTracking(Request));
    Engine &Target = m_Engines[std::stoul(Best.Target->Id.substr(3))];
    const bool Cached = useCache(Target, Request);
    Best.Target->Gauge->recordCacheHits(Best.ExpectedCachedTokens,
                                        Cached ? 3 * PrefixBlockTokens : 0);
    Result.MeanWait += Target.Queue;
    Result.WorstWait = std::max(Result.WorstWait, Target.Queue);
    Result.CachedFraction += Cached;
    const double Tokens =
        m_Settings.PromptTokens - (Cached ? 3.0 * PrefixBlockTokens : 0.0);
    Target.Queue += Seconds(Tokens / m_Settings.PrefillRate);
  }

  bool useCache(Engine &Target, const RequestShape &Request) const {
    if (Request.PrefixHashes.empty())
      return false;
    auto &Cache = Target.Cache;
    const uint64_t Hash = Request.PrefixHashes.back();
    const bool Hit = std::erase(Cache, Hash) > 0;
    Cache.push_back(Hash);
    if (Cache.size() > m_Settings.CachedPrefixesPerTarget)
      Cache.pop_front();
    return Hit;
  }

  Policy m_Policy;
  SimulationSettings m_Settings;
  std::vector<Engine> m_Engines;
  InFlightTracker m_Tracker;
  RoutingTable m_Table;
  std::vector<InFlightTicket> m_Tickets;
};

} // namespace figlift::route::test
