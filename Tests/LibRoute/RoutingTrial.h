//===- RoutingTrial.h - Small deterministic queue model ---------*- C++ -*-===//
//
// Engines as single prefill queues with a prefix cache of a few blocks, one
// entry, and reports that arrive with a lag. Enough to see a policy herd or
// miss caches; no cluster simulator.
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

struct TrialSettings {
  unsigned Targets = 8;
  double PrefillRate = 8000;
  milliseconds ReportLag{200};
  /// One request each.
  milliseconds ArrivalInterval{20};
  unsigned Requests = 2000;
  uint32_t PromptTokens = 1024;
  /// Kinds of prompts with a beginning of their own; 0: nothing is shared.
  unsigned SharedPrefixes = 0;
  size_t CachedPrefixesPerTarget = 4;
};

struct TrialResult {
  Seconds MeanWait{0};
  Seconds WorstWait{0};
  double CachedFraction = 0;
};

class RoutingTrial {
public:
  RoutingTrial(Policy Which, TrialSettings Settings)
      : m_Policy(std::move(Which)), m_Settings(Settings),
        m_Engines(Settings.Targets) {}

  TrialResult run() {
    TrialResult Result;
    rebuild();
    Seconds Now{0}, NextReport = m_Settings.ReportLag;
    for (unsigned I = 0; I < m_Settings.Requests; ++I) {
      Now += m_Settings.ArrivalInterval;
      for (Engine &One : m_Engines)
        One.Queue = std::max(Seconds(0),
                             One.Queue - Seconds(m_Settings.ArrivalInterval));
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

  /// A report of every engine arrives and accounts for all that was sent.
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
      m_Book.gauge(name(I))->report(Load, BootTime(m_Settings.ReportLag));
      TargetView View;
      View.Id = name(I);
      View.BackEnd = "lm-desk";
      View.Accepting = true;
      const std::vector<uint64_t> Cached(m_Engines[I].Cache.begin(),
                                         m_Engines[I].Cache.end());
      View.Prefixes = PrefixSummary(Cached);
      Views.push_back(std::move(View));
    }
    m_Table = RoutingTable(std::move(Views), m_Book);
  }

  void serve(unsigned Number, TrialResult &Result) {
    RequestShape Request;
    Request.BackEnd = "lm-desk";
    Request.PromptTokens = m_Settings.PromptTokens;
    if (m_Settings.SharedPrefixes > 0)
      // The beginnings come in no order that a rotation could match. They have
      // three blocks of the prompt's four.
      for (uint64_t Block = 0; Block < 3; ++Block)
        Request.PrefixHashes.push_back(rendezvousWeight(Number, "prompt") %
                                           m_Settings.SharedPrefixes * 10 +
                                       Block + 1);
    const auto Chosen = chooseTarget(m_Policy, m_Table, Request, {}, Number);
    if (!Chosen)
      return;
    const Choice &Best = Chosen.value();
    m_Tickets.push_back(Best.enter(Request));
    Engine &Target = m_Engines[std::stoul(Best.Target->Id.substr(3))];
    const bool Cached = useCache(Target, Request);
    Best.Target->Gauge->learnHit(Best.PrefixTokensBelieved,
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
  TrialSettings m_Settings;
  std::vector<Engine> m_Engines;
  InFlightBook m_Book;
  RoutingTable m_Table;
  std::vector<InFlightTicket> m_Tickets;
};

} // namespace figlift::route::test
