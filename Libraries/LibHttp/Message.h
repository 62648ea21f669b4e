//===- Message.h - HTTP requests and responses ------------------*- C++ -*-===//
//
// The form in which handlers see HTTP: plain data, so that they can be tested
// without a listener and the connection code shows in this library alone.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figlift::http {

struct Request {
  std::string Method;
  /// Decoded path without the query, always beginning with '/'.
  std::string Path;
  /// As received: still with its escapes, without the query.
  std::string RawPath;
  /// As received, without the '?'.
  std::string RawQuery;
  /// Decoded query parameters.
  std::map<std::string, std::string> Query;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Value of a header, or an empty text. \p LowerName is in lower case.
  std::string header(std::string_view LowerName) const {
    const auto Found = Headers.find(std::string(LowerName));
    return Found == Headers.end() ? std::string() : Found->second;
  }
  /// Value of a query parameter, or an empty text.
  std::string query(std::string_view Name) const {
    const auto Found = Query.find(std::string(Name));
    return Found == Query.end() ? std::string() : Found->second;
  }
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct Response {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body = {};
  HeaderList Headers = {};
};

} // namespace figlift::http
