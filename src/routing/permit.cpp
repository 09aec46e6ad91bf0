#include "routing/permit.h"

namespace radishstep {

std::string job_name(const permit_key& key)
{
    return key.request_id + "." + std::to_string(key.attempt);
}

std::string host_of_request(const std::string& request_id)
{
    return request_id.substr(0, request_id.find(':'));
}

} // namespace radishstep
