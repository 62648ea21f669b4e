//===- HttpEngine.h - Model engine over HTTP --------------------*- C++ -*-===//
//
// Client of the engine beside which an agent runs. Answers arrive as
// server-sent events, and each token is passed on as it arrives. No thread
// waits for a stream.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibTarget/HttpCall.h"

namespace figlift::target {

struct HttpEngineOptions {
  Endpoint Target;
  /// Longest time without data during a completion, including its time in the
  /// engine's queue.
  std::chrono::milliseconds SilenceTimeout{60000};
  std::chrono::milliseconds CallTimeout{3000};
};

class HttpEngine final : public Engine {
public:
  explicit HttpEngine(HttpEngineOptions Options);
  std::shared_ptr<Completion>
  complete(CompletionCall Call,
           std::shared_ptr<CompletionListener> Listener) override;
  void order(OrderCall Call, CallDone<std::monostate> Done) override;
  void state(CallDone<EngineState> Done) override;
  void load(CallDone<EngineLoad> Done) override;
  void cacheEvents(uint64_t After,
                   CallDone<std::vector<CacheEvent>> Done) override;

private:
  template <typename T>
  void query(const std::string &Path, Result<T> (*Parse)(std::string_view),
             CallDone<T> Done);

  const HttpEngineOptions m_Options;
  /// Shared with the completions, which may outlive the engine's client.
  std::shared_ptr<upstream::HttpClient> m_Client;
};

} // namespace figlift::target
