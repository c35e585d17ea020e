package config

import (
	"errors"

	"calicohinge/policy"
)

// translateSettingError converts an error of policy.Settings.Validate into an *Error that names
// the key of the setting and gives the value in the unit of the setting.
func translateSettingError(err error) error {
	settingError, ok := errors.AsType[*policy.SettingError](err)
	if !ok {
		return &Error{Key: settingsKey, Err: err}
	}
	setting, ok := settingForField(settingError.Field)
	if !ok {
		return &Error{Key: settingsKey, Err: err}
	}
	return &Error{
		Key:     joinKeys(settingsKey, setting.key),
		Value:   setting.valueInSettingUnit(settingError.Value),
		Allowed: settingError.Allowed,
		Err:     err,
	}
}
