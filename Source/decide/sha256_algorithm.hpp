#ifndef BLUEBELLSPOKE_DECIDE_SHA256_ALGORITHM_HPP
#define BLUEBELLSPOKE_DECIDE_SHA256_ALGORITHM_HPP

#include <openssl/evp.h>

namespace bluebellspoke
{

/// Returns the SHA-256 algorithm, which is fetched once per process.
const EVP_MD* sha256_algorithm();

}

#endif
