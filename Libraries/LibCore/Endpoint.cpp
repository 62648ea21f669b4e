//===- Endpoint.cpp - IPv4 address and port -------------------------------===//
//
// Only dotted IPv4 addresses are accepted. Host names would need a resolver,
// whose outage would affect processes that can reach each other.
//
//===----------------------------------------------------------------------===//

#include "LibCore/Endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace figlift {

std::string Endpoint::toString() const {
  return Address + ":" + std::to_string(Port);
}

Result<Endpoint> Endpoint::parse(std::string_view Text) {
  auto Invalid = [&] {
    return failure(ResultCode::InvalidInput,
                   "found \"" + std::string(Text) +
                       "\"; expected an IPv4 address and a port from 0 to "
                       "65535, such as \"127.0.0.1:8080\"");
  };
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Invalid();
  std::string Address(Text.substr(0, Colon));
  in_addr Parsed{};
  if (inet_pton(AF_INET, Address.c_str(), &Parsed) != 1)
    return Invalid();
  uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Status] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Status != std::errc() || Rest != End)
    return Invalid();
  return Endpoint{std::move(Address), Port};
}

} // namespace figlift
