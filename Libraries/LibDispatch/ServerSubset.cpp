//===- ServerSubset.cpp - Servers that a request may use ------------------===//
//
// See ServerSubset.h.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/ServerSubset.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace figlift::dispatch {

namespace {

/// A part has at least this many engines of each stage.
constexpr size_t MinimumPerStage = 16;

/// A number in [0, 1) that is the same at all gateways.
double fractionOf(uint64_t Subject) {
  const uint64_t Hash = XXH64(&Subject, sizeof(Subject), 0);
  constexpr unsigned MantissaBits = 53;
  return static_cast<double>(Hash >> (64 - MantissaBits)) /
         static_cast<double>(1ULL << MantissaBits);
}

void sortByHash(ServerRings::List &Servers) {
  std::vector<std::pair<uint64_t, const Target *>> Ordered;
  Ordered.reserve(Servers.size());
  for (const Target *Server : Servers)
    Ordered.emplace_back(XXH64(Server->Id.data(), Server->Id.size(), 0),
                         Server);
  std::ranges::sort(Ordered, {}, [](const auto &Entry) { return Entry.first; });
  std::ranges::transform(Ordered, Servers.begin(),
                         [](const auto &Entry) { return Entry.second; });
}

} // namespace

ServerRings::ServerRings(std::span<const Target *const> Servers)
    : m_Servers(Servers.size()) {
  for (const Target *Server : Servers)
    m_Rings[Server->EngineStage].push_back(Server);
  if (m_Servers > MaximumUsedServers)
    for (auto &[Stage, Ring] : m_Rings)
      sortByHash(Ring);
}

ServerRings::List ServerRings::ofGateway(const GatewayPlace &Place) const {
  return stretch(static_cast<double>(Place.Index) /
                 static_cast<double>(std::max<size_t>(1, Place.Count)));
}

ServerRings::List ServerRings::ofSubject(uint64_t Subject) const {
  return stretch(fractionOf(Subject));
}

ServerRings::List ServerRings::stretch(double Start) const {
  List Part;
  Part.reserve(std::min(m_Servers, MaximumUsedServers + MinimumPerStage));
  for (const auto &[Stage, Ring] : m_Rings) {
    const size_t Proportional = MaximumUsedServers * Ring.size() / m_Servers;
    const size_t Size =
        m_Servers <= MaximumUsedServers
            ? Ring.size()
            : std::min(Ring.size(), std::max(MinimumPerStage, Proportional));
    const auto First =
        static_cast<size_t>(Start * static_cast<double>(Ring.size()));
    for (size_t Offset = 0; Offset < Size; ++Offset)
      Part.push_back(Ring[(First + Offset) % Ring.size()]);
  }
  return Part;
}

} // namespace figlift::dispatch
