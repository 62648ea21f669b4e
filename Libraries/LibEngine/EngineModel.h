//===- EngineModel.h - Learned cost model of engines ------------*- C++ -*-===//
//
// Learns how long the engines of a service take for prefill, for the start of
// decode after a prefill on another engine, and for prefill interleaved with
// decode. Nothing of this is configured: the prefill speed of engines differs
// by a factor of eighteen between deployments, and with the parameters of one
// deployment a gateway of another rejects half of its requests while its
// engines are idle.
//
// Each gateway sees only its share of the answers, so gateways exchange their
// parameters, and a gateway that has just started begins with those of its
// peers.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibEngine/LinearCost.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace figlift::engine {

/// Fractional milliseconds for estimates.
using Milliseconds = std::chrono::duration<double, std::milli>;

/// The part of a prompt that an engine has to compute.
struct PrefillSize {
  double Tokens = 0;
  /// Attention pairs (a computed token and a token before it), in millions.
  double MillionPairs = 0;
  /// Whether parts are fetched from another engine first.
  bool Fetches = false;
};

/// Parameters of the cost model; exchanged between gateways.
struct EngineParameters {
  /// Fixed time of each prefill. Does not delay other prompts.
  Milliseconds PrefillFixed{5};
  /// Engine time of prefill on a prefill engine.
  Milliseconds PrefillPerThousandTokens{5};
  Milliseconds PrefillPerMillionPairs{0.1};
  /// Fixed time of a fetch before a prefill, without the transfer.
  Milliseconds FetchFixed{1};
  /// Prefill on a decode engine takes this many times as long.
  double DecodePrefillFactor = 3;
  /// Time from sending a decode request whose prompt has been prefilled to its
  /// first event, without the transfer of the KV cache.
  Milliseconds DecodeStartFixed{5};
  /// Ratio between the actual transfer time and the one computed from size and
  /// link.
  double TransferFactor = 1;
  /// \name Number of measurements behind the parameters of each kind of work.
  /// @{
  double PrefillWeight = 0;
  double DecodePrefillWeight = 0;
  double DecodeStartWeight = 0;
  /// @}
};

class EngineModel {
public:
  EngineModel();

  /// \name Measurements. \p AttributableShare, 0 to 1: the share of the
  /// measured time that certainly belongs to the work and not to queueing
  /// before it.
  /// @{
  /// \p Measured excludes the transfer of fetched parts.
  void observePrefill(const PrefillSize &Size, Milliseconds Measured,
                      double AttributableShare);
  /// \p AtPrefillEngine: time of the same prefill on a prefill engine.
  void observeDecodePrefill(Milliseconds AtPrefillEngine, Milliseconds Measured,
                            double AttributableShare);
  /// \p Transfer: computed from its size and the link.
  void observeDecodeStart(Milliseconds Transfer, Milliseconds Measured,
                          double AttributableShare);
  /// @}

  void recordPeerParameters(const std::string &Peer,
                            const EngineParameters &Parameters, BootTime Now);
  /// Parameters measured by this process.
  const EngineParameters &localParameters() const { return m_LocalParameters; }
  /// Mean of the parameters of this process and its peers, weighted by their
  /// measurements.
  const EngineParameters &parameters(BootTime Now);

private:
  struct PeerParameters {
    EngineParameters Parameters;
    BootTime At{};
  };
  /// Parameters of a peer expire after this time. Long enough that a peer that
  /// is disconnected for some seconds still counts.
  static constexpr std::chrono::seconds PeerLifetime{30};
  /// Without changes the mean is recomputed after this time, to drop expired
  /// peers.
  static constexpr std::chrono::seconds MeanLifetime{1};

  EngineParameters mean(BootTime Now) const;

  LinearCost<4> m_Prefill;
  LinearCost<1> m_DecodePrefill;
  LinearCost<2> m_DecodeStart;
  /// Coefficients of the three models above.
  EngineParameters m_LocalParameters;
  std::map<std::string, PeerParameters> m_Peers;
  /// Cached because each request reads it several times and it changes rarely.
  EngineParameters m_Mean;
  /// When m_Mean was computed; unset after a new measurement or peer report.
  std::optional<BootTime> m_MeanComputedAt;
};

} // namespace figlift::engine
