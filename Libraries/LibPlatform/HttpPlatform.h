//===- HttpPlatform.h - The platform over HTTP ------------------*- C++ -*-===//
//
// Table, object store and VM list of the platform behind its HTTP and JSON
// interface. What a failed call means for a write is decided here, once:
// refused connection or 503 means that nothing was written, a lost answer
// that nobody knows.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibPlatform/HttpCalls.h"
#include "LibPlatform/Platform.h"

#include <memory>

namespace figlift::platform {

class HttpPlatform : public Table, public ObjectStore, public VmList {
public:
  /// \p Options name the platform's endpoint and the timeout of each call.
  static Result<std::unique_ptr<HttpPlatform>>
  create(const HttpCallOptions &Options);

  /// Waits for the calls in flight, at most their timeout.
  ~HttpPlatform() override;

  void read(std::string Key, Callback<Row> Done) override;
  void readRange(std::string Prefix, std::string After, size_t Limit,
                 Callback<std::vector<Row>> Done) override;
  void commit(Transaction What, Callback<std::monostate> Done) override;
  void put(std::string Name, std::string Body,
           Callback<std::monostate> Done) override;
  void get(std::string Name, Callback<std::string> Done) override;
  void list(Callback<std::vector<Vm>> Done) override;

  /// Bytes exchanged with the platform since the start.
  uint64_t bytes() const { return m_Calls->bytes(); }

private:
  explicit HttpPlatform(std::shared_ptr<HttpCalls> Calls);

  class ListCache;

  std::shared_ptr<HttpCalls> m_Calls;
  const std::shared_ptr<ListCache> m_List;
};

} // namespace figlift::platform
