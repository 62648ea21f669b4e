//===- StreamOriginUpdate.cpp - Where streams began, for peers ------------===//
//
// The keys follow one another in a single byte string.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/StreamOriginUpdate.h"

#include "LibCore/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace figlift::dispatch {

using Json = nlohmann::json;

std::string encodeStreamOrigins(const StreamOriginUpdate &Update) {
  std::vector<uint8_t> Keys;
  for (const StreamKey &Key : Update.Streams)
    Keys.insert(Keys.end(), Key.Bytes.begin(), Key.Bytes.end());
  std::string Bytes;
  Json::to_cbor(
      Json::array({Update.Origin.Service, Update.Origin.SoftwareVersion,
                   Json::binary(std::move(Keys))}),
      Bytes);
  return Bytes;
}

Result<StreamOriginUpdate> decodeStreamOrigins(std::string_view Bytes) try {
  FIGLIFT_TRY(Root, parseCborMessage(Bytes));
  StreamOriginUpdate Update;
  Update.Origin = {Root.at(0).get<std::string>(),
                   Root.at(1).get<std::string>()};
  const auto &Keys = Root.at(2).get_binary();
  constexpr size_t KeySize = sizeof(StreamKey::Bytes);
  if (Keys.size() % KeySize != 0)
    return failure(ResultCode::InvalidInput, "a stream's key has 16 bytes",
                   "stream origins");
  for (auto Key = Keys.begin(); Key != Keys.end(); Key += KeySize)
    std::copy_n(Key, KeySize, Update.Streams.emplace_back().Bytes.begin());
  return Update;
} catch (const Json::exception &Exception) {
  return failure(ResultCode::InvalidInput, Exception.what(), "stream origins");
}

} // namespace figlift::dispatch
