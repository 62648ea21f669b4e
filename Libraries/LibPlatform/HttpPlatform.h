//===- HttpPlatform.h - Platform client over HTTP ---------------*- C++ -*-===//
//
// Client for the platform's table, object store and VM list over HTTP and JSON.
// Maps failed writes to result codes: a refused connection or status 503 means
// that nothing was written; after a lost response the outcome is unknown.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlatform/BoundedHttpClient.h"
#include "LibPlatform/Platform.h"

#include <memory>

namespace figlift::platform {

class HttpPlatform : public Table, public ObjectStore, public VmList {
public:
  /// \p Options contain the platform's endpoint and the timeout of each call.
  static Result<std::unique_ptr<HttpPlatform>>
  create(const HttpCallOptions &Options);

  /// Waits for the calls in flight, at most for their timeout.
  ~HttpPlatform() override;

  void read(std::string Key, Callback<Row> Done) override;
  void readRange(std::string Prefix, std::string After, size_t Limit,
                 Callback<std::vector<Row>> Done) override;
  void commit(Transaction Changes, Callback<std::monostate> Done) override;
  void put(std::string Name, std::string Body,
           Callback<std::monostate> Done) override;
  void get(std::string Name, Callback<std::string> Done) override;
  void list(Callback<std::vector<Vm>> Done) override;

  /// Bytes exchanged with the platform since the start.
  uint64_t bytes() const { return m_Client->bytes(); }

private:
  explicit HttpPlatform(std::shared_ptr<BoundedHttpClient> Client);

  class ListCache;

  std::shared_ptr<BoundedHttpClient> m_Client;
  const std::shared_ptr<ListCache> m_ListCache;
};

} // namespace figlift::platform
