package setup

import "fmt"

func (x *inspection) checkCertificate() {
	c := x.settings.Caller
	if c.CertificateFile != "" && c.PrivateKeyFile == "" {
		x.addKey("caller", "certificate_file", problem{
			"there is a certificate without a private key", "set private_key_file as well, or neither for plain HTTP",
		})
	}
	if c.PrivateKeyFile != "" && c.CertificateFile == "" {
		x.addKey("caller", "private_key_file", problem{
			"there is a private key without a certificate", "set certificate_file as well, or neither for plain HTTP",
		})
	}
	x.checkReadable("certificate_file", c.CertificateFile)
	x.checkReadable("private_key_file", c.PrivateKeyFile)
}

func (x *inspection) checkReadable(key, path string) {
	if path == "" {
		return
	}
	if _, err := x.read(path); err != nil {
		x.addKey("caller", key, problem{
			fmt.Sprintf("the file can't be read: %v", err), "check the path and the file's permissions",
		})
	}
}
