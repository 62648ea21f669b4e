//===- RequestTenant.cpp - Tenant of one request --------------------------===//
//
// Authenticates a request with the configuration that it starts with: a key
// that is removed later does not interrupt it. Counts the request as usage.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

#include <nlohmann/json.hpp>

namespace figlift::gateway {

bool RequestFlow::authenticate() {
  const auto Outcome =
      tenant::authenticate(m_Configuration->Tenants.get(), m_Route.Access,
                           std::exchange(m_Fields.Credential, {}));
  if (const auto *Known = std::get_if<tenant::Authenticated>(&Outcome)) {
    m_Tenant = Known->Holder->Name;
    if (Known->Holder->Priority)
      m_Route.Priority = *Known->Holder->Priority;
    m_Shared.Tenants.recordAuthenticated(*m_Tenant);
  } else if (const auto *Failed =
                 std::get_if<tenant::Unauthenticated>(&Outcome)) {
    rejectUnauthenticated(Failed->Reason);
    return false;
  }
  return true;
}

void RequestFlow::recordUsage() {
  UsageState &Usage = m_Shared.Usage;
  if (!m_Tenant || !Usage.Meter || m_UsageWindow)
    return;
  m_UsageWindow =
      Usage.Meter->recordStart(*m_Tenant, Usage.Clock.at(BootClock::now()));
}

void RequestFlow::undoUsage() {
  if (const auto Window = std::exchange(m_UsageWindow, std::nullopt))
    m_Shared.Usage.Meter->undoStart(*m_Tenant, *Window);
}

void RequestFlow::rejectUnauthenticated(std::string_view Reason) {
  m_Shared.Tenants.recordRejected();
  m_Code = ResultCode::Unauthenticated;
  const dispatch::ErrorStatus Status = dispatch::RequestError::Unauthenticated;
  proxy::ResponseHead Head;
  Head.Status = Status.code();
  Head.Headers.add("Content-Type", "application/json");
  Head.Headers.add("WWW-Authenticate", "ApiKey");
  slopes::addAttemptId(Head.Headers, m_Fields.AttemptId);
  const nlohmann::json Body = {{"code", static_cast<int>(m_Code)},
                               {"reason", Reason},
                               {"executed", "not run"}};
  m_Caller->respond(Head, Body.dump());
  finish("refused", Status.code(), Reason);
}

} // namespace figlift::gateway
