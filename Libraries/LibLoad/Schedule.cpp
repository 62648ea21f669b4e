//===- Schedule.cpp - The requests of an experiment -----------------------===//
//
// Arrivals with a changing rate are made by thinning: draw at the highest rate
// of the phase and keep each with the share of the rate at its time.
//
//===----------------------------------------------------------------------===//

#include "LibLoad/Schedule.h"

#include <algorithm>
#include <cstdio>
#include <random>

using namespace figlift::load;
using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace {

constexpr size_t BytesPerToken = 4;

using Random = std::mt19937_64;

double rateOf(const std::map<std::string, double> &Rates,
              const std::string &Name) {
  auto Found = Rates.find(Name);
  return Found == Rates.end() ? 0 : Found->second;
}

uint32_t draw(Random &Source, Range Bounds) {
  return std::uniform_int_distribution<uint32_t>(Bounds.Minimum,
                                                 Bounds.Maximum)(Source);
}

Arrival drawArrival(Random &Source, const std::string &Name,
                    const Workload &What, microseconds Offset) {
  Arrival Drawn;
  Drawn.Offset = Offset;
  Drawn.Workload = Name;
  Drawn.Nonce = Source();
  if (!What.Workspaces.empty())
    Drawn.Workspace = What.Workspaces[Source() % What.Workspaces.size()];
  if (const auto *Work = std::get_if<CompletionWork>(&What.Work)) {
    Drawn.PromptTokens = draw(Source, Work->PromptTokens);
    Drawn.OutputTokens = draw(Source, Work->OutputTokens);
    Drawn.Prefix = Source() % Work->Prefixes;
  }
  return Drawn;
}

void addPhase(std::vector<Arrival> &Into, Random &Source,
              const std::string &Name, const Workload &What, const Phase &Of,
              microseconds Begin) {
  double First = rateOf(Of.Rates, Name);
  double Last = rateOf(Of.EndRates, Name);
  double Highest = std::max(First, Last);
  if (Highest <= 0)
    return;
  const double Length = duration<double>(Of.Duration).count();
  std::exponential_distribution<double> Gap(Highest);
  std::uniform_real_distribution<double> Share(0, 1);
  for (double At = Gap(Source); At < Length; At += Gap(Source)) {
    double Rate = First + (Last - First) * At / Length;
    if (Share(Source) * Highest > Rate)
      continue;
    microseconds Offset =
        Begin + duration_cast<microseconds>(duration<double>(At));
    Into.push_back(drawArrival(Source, Name, What, Offset));
  }
}

/// \p Tokens tokens that are the same for the same name and differ for others.
std::string tokensOf(uint64_t Name, size_t Tokens) {
  std::string Text;
  Text.reserve(Tokens * BytesPerToken);
  Random Source(Name);
  while (Text.size() < Tokens * BytesPerToken) {
    char Word[BytesPerToken + 1];
    std::snprintf(Word, sizeof(Word), "%03x ",
                  static_cast<unsigned>(Source() & 0xfff));
    Text += Word;
  }
  return Text;
}

} // namespace

std::vector<Arrival> figlift::load::makeSchedule(const Experiment &What,
                                                 uint64_t Seed) {
  std::vector<Arrival> All;
  uint64_t Stream = 0;
  for (const auto &[Name, Kind] : What.Workloads) {
    // Each workload has a source of its own: a change of one does not move the
    // arrivals of the others.
    std::seed_seq Words{Seed, What.Seed, ++Stream};
    Random Source(Words);
    microseconds Begin{0};
    for (const Phase &Each : What.Phases) {
      addPhase(All, Source, Name, Kind, Each, Begin);
      Begin += Each.Duration;
    }
  }
  std::ranges::stable_sort(All, {}, &Arrival::Offset);
  return All;
}

std::string figlift::load::makePrompt(const Arrival &Which,
                                      const CompletionWork &Work) {
  uint32_t Shared = std::min(Work.SharedPrefixTokens, Which.PromptTokens);
  std::string Prompt = tokensOf(Which.Prefix + 1, Shared);
  Prompt += tokensOf(Which.Nonce, Which.PromptTokens - Shared);
  return Prompt;
}
