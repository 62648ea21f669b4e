//===- EngineModel.h - What engines of one service need ---------*- C++ -*-===//
//
// How long the engines of a service take to read prompts, to start a run whose
// prompt has been read elsewhere, and to read a prompt between the tokens of
// other requests. Nothing of it is configured: engines of two deployments
// differ eighteenfold in reading, and figures of one made a gateway refuse half
// of the requests of the other while its engines were idle.
//
// A gateway sees one answer in as many as there are gateways, so gateways tell
// each other their figures, and one that has just started begins with them.
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

/// Times as the estimates compute them, with fractions.
using Milliseconds = std::chrono::duration<double, std::milli>;

/// What an engine has to compute of a prompt.
struct PrefillSize {
  double Tokens = 0;
  /// Pairs of a computed token and one before it, in millions: attention.
  double MillionPairs = 0;
  /// Parts are fetched from another engine first.
  bool Fetches = false;
};

/// What is known of engines; also what gateways tell each other.
struct EngineParameters {
  /// Of each read, whatever its size. It does not hold up other prompts.
  Milliseconds PrefillFixed{5};
  /// Engine time of reading at a prefill engine.
  Milliseconds PrefillPerThousandTokens{5};
  Milliseconds PrefillPerMillionPairs{0.1};
  /// Of a fetch in front of a read, beside the transfer.
  Milliseconds FetchFixed{1};
  /// Reading at a decode engine takes this many times as long.
  double DecodePrefillFactor = 3;
  /// From the sending of a run whose prompt has been read to its first event,
  /// beside the transfer of the KV cache.
  Milliseconds DecodeStartFixed{5};
  /// Transfers take this many times as long as their size and the link say.
  double TransferFactor = 1;
  /// \name Measurements behind the figures of each kind of work.
  /// @{
  double PrefillWeight = 0;
  double DecodePrefillWeight = 0;
  double DecodeStartWeight = 0;
  /// @}
};

class EngineModel {
public:
  EngineModel();

  /// \name Measurements. \p Purity, 0 to 1: the share of the time that belongs
  /// to the work for sure, not to what stood in front of it.
  /// @{
  /// \p Took is without the transfer of parts that were fetched.
  void observePrefill(const PrefillSize &Size, Milliseconds Measured,
                      double AttributableShare);
  /// \p AtPrefillEngine: what the same read takes there.
  void observeDecodePrefill(Milliseconds AtPrefillEngine, Milliseconds Measured,
                            double AttributableShare);
  /// \p Transfer: by its size and the link.
  void observeDecodeStart(Milliseconds Transfer, Milliseconds Measured,
                          double AttributableShare);
  /// @}

  void recordPeerParameters(const std::string &Peer,
                            const EngineParameters &PeerParameters,
                            BootTime Now);
  /// What this process measured itself.
  const EngineParameters &localParameters() const { return m_LocalParameters; }
  /// Of this process and its peers, each by its measurements.
  const EngineParameters &parameters(BootTime Now);

private:
  struct PeerParameters {
    EngineParameters Parameters;
    BootTime At{};
  };
  /// What a process that has gone told is forgotten by then; a peer that is
  /// cut off for some seconds still counts.
  static constexpr std::chrono::seconds PeerLifetime{30};
  /// Without news the mean is formed anew after this, for peers that have gone.
  static constexpr std::chrono::seconds MeanLifetime{1};

  EngineParameters mean(BootTime Now) const;

  LinearCost<4> m_Prefill;
  LinearCost<1> m_DecodePrefill;
  LinearCost<2> m_DecodeStart;
  /// Equals the figures of the three above.
  EngineParameters m_LocalParameters;
  std::map<std::string, PeerParameters> m_Peers;
  /// Asked for several times with each request, and changed more seldom.
  EngineParameters m_Mean;
  /// When m_Mean was formed; unset once a measurement or a peer has changed it.
  std::optional<BootTime> m_MeanComputedAt;
};

} // namespace figlift::engine
