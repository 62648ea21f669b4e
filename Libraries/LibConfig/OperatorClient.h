//===- OperatorClient.h - Client of the operator API ------------*- C++ -*-===//
//
// Sends an operator's reads and writes to one entry after the other until one
// returns a conclusive response.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibCore/Result.h"
#include "LibPlatform/BoundedHttpClient.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace figlift::config {

struct OperatorClientOptions {
  std::vector<Endpoint> Entries;
  /// Timeout of one request to one entry.
  std::chrono::milliseconds Timeout{3000};
  /// Number of times a write is sent to every entry before it fails.
  unsigned Rounds = 3;
  std::chrono::milliseconds RoundPause{200};
};

/// Response of one entry to a request that is sent to all entries.
struct EntryResponse {
  Endpoint Entry;
  /// False if the connection was refused, so that no process listens there.
  bool Listening = true;
  /// The body of a 200 response, or the error.
  Result<std::string> Body;
};

class OperatorClient {
public:
  explicit OperatorClient(OperatorClientOptions Options);
  ~OperatorClient();

  /// The first successful response, otherwise the error of the last entry.
  Result<std::string> read(const std::string &Path);
  /// Reads from every entry.
  std::vector<EntryResponse> readAll(const std::string &Path);

  /// Sends a write. \p Path or \p Body carries its operation id, so that it
  /// takes effect once even if several entries receive it.
  /// StoreOutcomeUnknown: the write may have taken effect. Any other error: it
  /// has not taken effect.
  Result<std::string> write(platform::HttpMethod Verb, const std::string &Path,
                            const std::string &Body);

private:
  platform::HttpOutcome send(size_t Entry, platform::HttpRequest Request);

  const OperatorClientOptions m_Options;
  std::vector<std::shared_ptr<platform::BoundedHttpClient>> m_Calls;
};

} // namespace figlift::config
