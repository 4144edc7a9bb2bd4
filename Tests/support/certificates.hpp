#ifndef BLUEBELLSPOKE_SUPPORT_CERTIFICATES_HPP
#define BLUEBELLSPOKE_SUPPORT_CERTIFICATES_HPP

#include <filesystem>
#include <memory>
#include <string>

#include <wire/tls_context.hpp>

namespace bluebellspoke::support
{

/// A folder that goes away at the end.
class scratch_folder
{
public:
    scratch_folder();
    ~scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    std::filesystem::path m_path;
};

/// An authority that signs certificates for 127.0.0.1 and test_host().
class test_authority
{
public:
    /// Writes its own certificate to `folder`/NAME.pem.
    test_authority(const std::filesystem::path& folder,
                   const std::string& name);
    ~test_authority();
    test_authority(const test_authority&) = delete;
    test_authority& operator=(const test_authority&) = delete;

    /// Signs a certificate and writes it and its key to the folder.
    tls_files issue(const std::string& name) const;
    std::filesystem::path authorities() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}

#endif
