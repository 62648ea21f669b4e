//===- Message.h - HTTP requests and responses ------------------*- C++ -*-===//
//
// Requests and responses as handlers see them: plain data, so that handlers can
// be tested without a listener and do not depend on the connection code.
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
  /// Decoded path without the query; starts with '/'.
  std::string Path;
  /// Path as received, with its percent escapes, without the query.
  std::string RawPath;
  /// Query as received, without the '?'.
  std::string RawQuery;
  /// Decoded query parameters.
  std::map<std::string, std::string> Query;
  /// Header values by name in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Value of a header, or an empty string. \p LowerName is in lower case.
  std::string header(std::string_view LowerName) const {
    const auto Found = Headers.find(std::string(LowerName));
    return Found == Headers.end() ? std::string() : Found->second;
  }
  /// Value of a query parameter, or an empty string.
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
