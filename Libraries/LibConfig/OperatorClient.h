//===- OperatorClient.h - Talks to the operator API -------------*- C++ -*-===//
//
// Sends an operator's reads and writes to one entry after the other until one
// gives an answer that settles the matter.
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
  /// Of one question to one entry.
  std::chrono::milliseconds Timeout{3000};
  /// Times that every entry is asked before a write is given up.
  unsigned Rounds = 3;
  std::chrono::milliseconds RoundPause{200};
};

/// An entry's answer to a question that only it can answer.
struct EntryAnswer {
  Endpoint Entry;
  /// False: nothing listens there.
  bool Running = true;
  /// The body of a 200 answer, or why there is none.
  Result<std::string> Body;
};

class OperatorClient {
public:
  explicit OperatorClient(OperatorClientOptions Options);
  ~OperatorClient();

  /// The first good answer; the error of the last entry otherwise.
  Result<std::string> read(const std::string &Path);
  /// Asks every entry.
  std::vector<EntryAnswer> readAll(const std::string &Path);

  /// Sends a write; \p Path or \p Body carries its operation id, so that
  /// sending it to several entries does it once. StoreOutcomeUnknown: one of
  /// them may have done it. Every other error: nothing was done.
  Result<std::string> write(platform::HttpMethod Verb, const std::string &Path,
                            const std::string &Body);

private:
  platform::HttpOutcome ask(size_t Entry, platform::HttpRequest Question);

  const OperatorClientOptions m_Options;
  std::vector<std::shared_ptr<platform::BoundedHttpClient>> m_Calls;
};

} // namespace figlift::config
